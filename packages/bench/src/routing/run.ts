import { Random } from 'auburnturn'
import type { Answer, Body, Call, Member, Outcome } from 'auburnturn'
import { callers, callMs, domains, meanMs, measuredMs, resendMs, sigma, slots, warmUpMs } from './constants.js'
import { collect } from './figures.js'
import type { Tally } from './figures.js'
import { drawExponential, drawLogNormal } from './sampler.js'
import { killerPath, readWork, TargetNode } from './target-node.js'
import type { Contender, Figures, Scene } from './types.js'
import { VirtualTime } from './virtual-time.js'

export const body: Body = { replayable: true, empty: true, async * read () {} }

/** Runs one scene with one contender; the same seed gives the same figures. */
export async function runScene (scene: Scene, contender: Contender, seed: number): Promise<Figures> {
  const time = VirtualTime.create()
  const nodes = createNodes(scene, contender, time, seed)
  const tally: Tally = { latencies: [], traces: [], started: 0, answered: 0, refused: 0, failed: 0, oneHop: 0 }
  for (const event of scene.events) time.setTimer(() => { apply(event.what, event.target, scene, nodes, time) }, event.at)
  if (scene.killer) resend(scene, nodes, time, Random.create(seed + 1))
  offer(scene, contender, nodes, time, Random.create(seed), tally)
  await time.run(warmUpMs + measuredMs)
  const figures = collect(scene, contender, nodes, tally)
  for (const { prober } of nodes) prober?.close().catch(() => {})
  await time.run(warmUpMs + measuredMs + callMs)
  return figures
}

function createNodes (scene: Scene, contender: Contender, time: VirtualTime, seed: number): TargetNode[] {
  const nodes: TargetNode[] = []
  for (let index = 0; index < scene.targets + scene.clients; index++) {
    nodes.push(TargetNode.create({ index, time, scene, random: Random.create(seed + 1_000 + index) }))
  }
  const byId = new Map(nodes.map(node => [node.id, node]))
  nodes.forEach((node, index) => {
    node.connect(byId, contender.createPolicy(), Random.create(seed + 2_000 + index), !contender.plain)
  })
  const late = new Set(scene.events.filter(({ what }) => what === 'join').map(({ target }) => target))
  publish(nodes, index => late.has(index) ? undefined : 'live', 1)
  return nodes
}

function apply (what: 'drain' | 'join', target: number, scene: Scene, nodes: TargetNode[], time: VirtualTime): void {
  if (what === 'join') return publish(nodes, () => 'live', 2)
  nodes[target]?.admission.drain()
  // The list lags behind the target's own word.
  time.setTimer(() => { publish(nodes, index => index === target ? 'leaving' : 'live', 3) }, 1_000)
}

function publish (nodes: readonly TargetNode[], stateOf: (index: number) => Member['state'] | undefined, version: number): void {
  const members = nodes.flatMap(({ id, isTarget }, index): Member[] => {
    const state = isTarget ? stateOf(index) : undefined
    return state === undefined ? [] : [{ id, service: 'orders', region: 'kochi', failureDomain: `kochi-${index % domains}`, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state }]
  })
  for (const { directory } of nodes) directory.accept({ service: 'orders', version, members })
}

/** Offers calls with exponential gaps until the run ends. */
function offer (scene: Scene, contender: Contender, nodes: readonly TargetNode[], time: VirtualTime, random: Random, tally: Tally): void {
  const gapMs = meanMs / (scene.targets * slots * scene.load)
  const works = Random.create(random.integerBelow(2 ** 31 - 1))
  const profile = contender.plain
    ? { ...scene.profile, retry: { ...scene.profile.retry, hedge: contender.hedge === true }, admission: { ...scene.profile.admission, localBelow: 0 } }
    : scene.profile
  let count = 0
  const next = (): void => {
    const entry = nodes[pickEntry(scene, random)] as TargetNode
    const controller = new AbortController()
    const workMs = drawLogNormal(works, meanMs, sigma)
    const call = createCall(count++, workMs, time.now(), profile, controller.signal, `caller-${random.integerBelow(callers)}`)
    follow(call, entry, time, scene, tally).catch(error => { queueMicrotask(() => { throw error }) })
    time.setTimer(next, drawExponential(random, gapMs))
  }
  time.setTimer(next, drawExponential(random, gapMs))
}

/** Sends one request again and again; it crashes whichever upstream runs it. */
function resend (scene: Scene, nodes: readonly TargetNode[], time: VirtualTime, random: Random): void {
  const { signal } = new AbortController()
  const next = (): void => {
    const entry = nodes[random.integerBelow(scene.targets)] as TargetNode
    const call = { ...createCall(0, 0, time.now(), scene.profile, signal, 'killer'), path: killerPath }
    entry.router.run(call, body, createAnswer()).catch(error => { queueMicrotask(() => { throw error }) })
    time.setTimer(next, resendMs)
  }
  time.setTimer(next, warmUpMs)
}

function pickEntry ({ skew, targets, clients }: Scene, random: Random): number {
  if (clients > 0) return targets + random.integerBelow(clients)
  return random.fraction() < skew ? 0 : random.integerBelow(targets)
}

export function createCall (count: number, workMs: number, now: number, profile: Call['profile'], signal: Call['signal'], caller: string): Call {
  return { id: String(count), service: 'orders', method: 'GET', path: `/${workMs}`, headers: [], profile, idempotent: true, deadline: now + callMs, attempt: 0, depth: 1, caller, forwarded: false, signal }
}

async function follow (call: Call, entry: TargetNode, time: VirtualTime, scene: Scene, tally: Tally): Promise<void> {
  const start = time.now()
  const counted = start >= warmUpMs
  if (counted) tally.started++
  const outcome = await entry.router.run(call, body, createAnswer())
  if (!counted) return
  note(outcome, entry, time.now() - start, tally)
  if (scene.noisyTarget === undefined || outcome.verdict.kind !== 'done') return
  const sentIntoNoise = outcome.incarnation === `first-${scene.noisyTarget(start)}`
  tally.traces.push({ latencyMs: time.now() - start, workMs: readWork(call), sentIntoNoise })
}

function note (outcome: Outcome, entry: TargetNode, latencyMs: number, tally: Tally): void {
  if (outcome.verdict.kind === 'not-run') {
    tally.refused++
    return
  }
  if (outcome.verdict.kind === 'may-have-run' || (outcome.status ?? 200) >= 500) {
    tally.failed++
    return
  }
  tally.answered++
  tally.latencies.push(latencyMs)
  if (outcome.incarnation === entry.target.incarnation) tally.oneHop++
}

export function createAnswer (): Answer {
  return { started: false, writeInformational () {}, writeHead () {}, writeData: () => undefined, end () {}, cut () {} }
}
