import { Random } from 'auburnturn'
import type { Answer, Body, Call, Member, Outcome } from 'auburnturn'
import { callerCount, callTimeoutMs, failureDomainCount, meanServiceMs, measurementMs, crashResendIntervalMs, serviceTimeSigma, slotsPerTarget, warmUpMs } from './constants.js'
import { summarizeRun } from './run-result.js'
import type { RunCounts } from './run-result.js'
import { drawExponential, drawLogNormal } from './sampler.js'
import { crashingPath, readWorkMs, SimulatedNode } from './simulated-node.js'
import type { PolicySetup, RunResult, Scenario } from './types.js'
import { VirtualTime } from './virtual-time.js'

/** Request body of every simulated call. */
export const emptyBody: Body = { replayable: true, empty: true, async * read () {} }

/** Runs one scenario with one policy setup. The same seed gives the same result. */
export async function runScenario (scenario: Scenario, setup: PolicySetup, seed: number): Promise<RunResult> {
  const time = VirtualTime.create()
  const nodes = createNodes(scenario, setup, time, seed)
  const counts: RunCounts = { latenciesMs: [], noisyCalls: [], started: 0, answered: 0, refused: 0, failed: 0, oneHop: 0 }
  for (const event of scenario.events) time.setTimer(() => { applyEvent(event.kind, event.targetIndex, scenario, nodes, time) }, event.atMs)
  if (scenario.resendsCrashingRequest) resendCrashingRequest(scenario, nodes, time, Random.create(seed + 1))
  generateCalls(scenario, setup, nodes, time, Random.create(seed), counts)
  await time.run(warmUpMs + measurementMs)
  const result = summarizeRun(scenario, setup, nodes, counts)
  for (const { prober } of nodes) prober?.close().catch(() => {})
  await time.run(warmUpMs + measurementMs + callTimeoutMs)
  return result
}

function createNodes (scenario: Scenario, setup: PolicySetup, time: VirtualTime, seed: number): SimulatedNode[] {
  const nodes: SimulatedNode[] = []
  for (let index = 0; index < scenario.targetCount + scenario.embeddedRouterCount; index++) {
    nodes.push(SimulatedNode.create({ index, time, scenario, random: Random.create(seed + 1_000 + index) }))
  }
  const byId = new Map(nodes.map(node => [node.id, node]))
  nodes.forEach((node, index) => {
    node.createRouter(byId, setup.createPolicy(), Random.create(seed + 2_000 + index), !setup.policyOnly)
  })
  const joiningTargets = new Set(scenario.events.filter(({ kind }) => kind === 'join').map(({ targetIndex }) => targetIndex))
  publishMembers(nodes, index => joiningTargets.has(index) ? undefined : 'live', 1)
  return nodes
}

function applyEvent (kind: 'drain' | 'join', targetIndex: number, scenario: Scenario, nodes: SimulatedNode[], time: VirtualTime): void {
  if (kind === 'join') return publishMembers(nodes, () => 'live', 2)
  nodes[targetIndex]?.admission.drain()
  // The member list shows the drain one second after the target itself announces it.
  time.setTimer(() => { publishMembers(nodes, index => index === targetIndex ? 'leaving' : 'live', 3) }, 1_000)
}

/** Delivers a new version of the member list to every node; targets without a state are left out. */
function publishMembers (nodes: readonly SimulatedNode[], findState: (index: number) => Member['state'] | undefined, version: number): void {
  const members = nodes.flatMap(({ id, isTarget }, index): Member[] => {
    const state = isTarget ? findState(index) : undefined
    return state === undefined ? [] : [{ id, service: 'orders', region: 'kochi', failureDomain: `kochi-${index % failureDomainCount}`, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state }]
  })
  for (const { directory } of nodes) directory.accept({ service: 'orders', version, members })
}

/** Sends calls with exponentially distributed gaps until the run ends. */
function generateCalls (scenario: Scenario, setup: PolicySetup, nodes: readonly SimulatedNode[], time: VirtualTime, random: Random, counts: RunCounts): void {
  const gapMs = meanServiceMs / (scenario.targetCount * slotsPerTarget * scenario.offeredLoad)
  const workRandom = Random.create(random.integerBelow(2 ** 31 - 1))
  const profile = setup.policyOnly
    ? { ...scenario.profile, retry: { ...scenario.profile.retry, hedge: setup.hedge === true }, admission: { ...scenario.profile.admission, localBelow: 0 } }
    : scenario.profile
  let count = 0
  const sendNext = (): void => {
    const entry = nodes[chooseEntryNode(scenario, random)] as SimulatedNode
    const controller = new AbortController()
    const workMs = drawLogNormal(workRandom, meanServiceMs, serviceTimeSigma)
    const call = createCall(count++, workMs, time.now(), profile, controller.signal, `caller-${random.integerBelow(callerCount)}`)
    runCall(call, entry, time, scenario, counts).catch(error => { queueMicrotask(() => { throw error }) })
    time.setTimer(sendNext, drawExponential(random, gapMs))
  }
  time.setTimer(sendNext, drawExponential(random, gapMs))
}

/** Sends a request that crashes whichever upstream runs it, repeatedly until the run ends. */
function resendCrashingRequest (scenario: Scenario, nodes: readonly SimulatedNode[], time: VirtualTime, random: Random): void {
  const { signal } = new AbortController()
  const sendNext = (): void => {
    const entry = nodes[random.integerBelow(scenario.targetCount)] as SimulatedNode
    const call = { ...createCall(0, 0, time.now(), scenario.profile, signal, 'killer'), path: crashingPath }
    entry.router.run(call, emptyBody, createNullAnswer()).catch(error => { queueMicrotask(() => { throw error }) })
    time.setTimer(sendNext, crashResendIntervalMs)
  }
  time.setTimer(sendNext, warmUpMs)
}

function chooseEntryNode ({ firstNodeShare, targetCount, embeddedRouterCount }: Scenario, random: Random): number {
  if (embeddedRouterCount > 0) return targetCount + random.integerBelow(embeddedRouterCount)
  return random.fraction() < firstNodeShare ? 0 : random.integerBelow(targetCount)
}

/** Creates a call whose path carries its work in milliseconds, see `readWorkMs`. */
export function createCall (callNumber: number, workMs: number, now: number, profile: Call['profile'], signal: Call['signal'], caller: string): Call {
  return { id: String(callNumber), service: 'orders', method: 'GET', path: `/${workMs}`, headers: [], profile, idempotent: true, deadline: now + callTimeoutMs, attempt: 0, depth: 1, caller, forwarded: false, signal }
}

async function runCall (call: Call, entry: SimulatedNode, time: VirtualTime, scenario: Scenario, counts: RunCounts): Promise<void> {
  const start = time.now()
  const afterWarmUp = start >= warmUpMs
  if (afterWarmUp) counts.started++
  const outcome = await entry.router.run(call, emptyBody, createNullAnswer())
  if (!afterWarmUp) return
  countOutcome(outcome, entry, time.now() - start, counts)
  if (scenario.findNoisyTarget === undefined || outcome.verdict.kind !== 'done') return
  const sentToNoisyTarget = outcome.incarnation === `first-${scenario.findNoisyTarget(start)}`
  counts.noisyCalls.push({ latencyMs: time.now() - start, workMs: readWorkMs(call), sentToNoisyTarget })
}

function countOutcome (outcome: Outcome, entry: SimulatedNode, latencyMs: number, counts: RunCounts): void {
  if (outcome.verdict.kind === 'not-run') {
    counts.refused++
    return
  }
  if (outcome.verdict.kind === 'may-have-run' || (outcome.status ?? 200) >= 500) {
    counts.failed++
    return
  }
  counts.answered++
  counts.latenciesMs.push(latencyMs)
  if (outcome.incarnation === entry.target.incarnation) counts.oneHop++
}

/** Creates an answer that discards its content. */
export function createNullAnswer (): Answer {
  return { started: false, writeInformational () {}, writeHead () {}, writeData: () => undefined, end () {}, cut () {} }
}
