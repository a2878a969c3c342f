import { Cancellation } from 'auburnturn/core/clock'
import { Random } from 'auburnturn/core/random'
import { maxRetryAfterShare } from 'auburnturn-sidecar/core/forwarding'
import type { Outcome } from 'auburnturn-sidecar/core/requests'
import type { ListedTarget } from 'auburnturn-sidecar/core/targets'
import { VirtualTime } from '../routing/virtual-time.js'
import { SceneNode } from './scene-node.js'
import { SimulatedTarget } from './simulated-target.js'
import type { TargetResult } from './simulated-target.js'
import type { Disturbance, Ending, RequestKind, Scene, SceneResult, Tally } from './types.js'

/** Length of a span of the result, in milliseconds. */
const windowMs = 2_000

/** Time before the first request, in which the nodes learn of the targets, in milliseconds. */
const leadMs = 3_000

/** Time after the last arrival, in which requests end, in milliseconds. */
const tailMs = 3_000

/** What an answer after the objective is worth, as a share. */
const lateShare = 0.1

const failureDomains = ['a', 'b', 'c']

/** Plays a scene with a seed: the same seed gives the same arrivals, work and slow moments. */
export async function playScene (scene: Scene, seed: number): Promise<SceneResult> {
  return await ScenePlay.create(scene, seed).play()
}

/** One play of a scene. */
class ScenePlay {
  private readonly scene: Scene
  private readonly time = VirtualTime.create()
  private readonly random: Random
  /** Draws the arrivals alone, so that they are the same whatever the nodes decide. */
  private readonly arrivalRandom: Random
  private readonly nodes = new Map<string, SceneNode>()
  private readonly targets: SimulatedTarget[] = []
  private readonly kinds = new Map<string, RequestKind>()
  private readonly kindTallies = new Map<string, Tally>()
  private readonly windows: Tally[] = []
  private readonly total = createTally()
  private readonly listed: ListedTarget[] = []
  private requestCount = 0
  private attemptsBeforeRestart = 0

  private constructor (scene: Scene, seed: number) {
    this.scene = scene
    this.random = Random.create(seed)
    this.arrivalRandom = Random.create(seed + 7_000)
    for (const kind of scene.kinds) this.kinds.set(kind.name, kind)
    for (let from = 0; from < scene.lengthMs; from += windowMs) this.windows.push(createTally())
    this.createNodes(seed)
  }

  static create (scene: Scene, seed: number): ScenePlay {
    return new ScenePlay(scene, seed)
  }

  async play (): Promise<SceneResult> {
    for (const kind of this.scene.kinds) this.scheduleArrival(kind, 0)
    for (const disturbance of this.scene.disturbances) this.scheduleDisturbance(disturbance)
    await this.time.run(leadMs + this.scene.lengthMs + tailMs)
    let attempts = 0
    for (const node of this.nodes.values()) {
      node.close()
      attempts += node.attempts
    }
    const rateLimitUse = Math.max(...this.targets.map(target => target.rateLimitUse))
    return { total: this.total, kinds: this.kindTallies, windows: this.windows, attempts: attempts + this.attemptsBeforeRestart, rateLimitUse }
  }

  private scheduleDisturbance ({ fromMs, toMs, down, rateLimit, restart }: Disturbance): void {
    if (down !== undefined) {
      this.at(fromMs, () => { for (const node of this.listFirst(down)) node.down = true })
      this.at(toMs, () => { for (const node of this.listFirst(down)) node.down = false })
    }
    if (rateLimit !== undefined) {
      this.at(fromMs, () => { for (const { target } of this.listFirst(rateLimit)) target.rateLimit = rateLimit.perSecond })
      this.at(toMs, () => { for (const { target } of this.listFirst(rateLimit)) target.rateLimit = undefined })
    }
    if (restart !== undefined) this.at(fromMs, () => { for (const node of this.listFirst(restart)) this.restart(node) })
  }

  /** The nodes beside the first targets of a service. */
  private listFirst ({ service, count }: { readonly service: string, readonly count: number }): SceneNode[] {
    return [...this.nodes.values()].filter(({ target }) => target.group.service === service).slice(0, count)
  }

  /** Replaces a node by one that knows nothing of before; requests that it had taken are still completed. */
  private restart (node: SceneNode): void {
    this.attemptsBeforeRestart += node.attempts
    node.close()
    const restarted = node.createSuccessor()
    this.nodes.set(node.ip, restarted)
    restarted.list(this.listed)
  }

  private createNodes (seed: number): void {
    const { time, nodes, scene: { groups, hopMs } } = this
    for (const group of groups) {
      for (let index = 0; index < group.count; index++) {
        const number = nodes.size + 1
        const ip = `10.0.0.${number}`
        const failureDomain = failureDomains[number % failureDomains.length] as string
        const target = SimulatedTarget.create(`i-${number}`, group, time, seed * 1_000 + 2 * number)
        this.targets.push(target)
        this.listed.push({ id: target.id, service: group.service, address: `${ip}:1`, ip, failureDomain, slots: group.slots, state: 'ready', coldMs: 0 })
        nodes.set(ip, SceneNode.create({ time, random: Random.create(seed * 2_000 + number), ip, failureDomain, target, hopMs, nodes, runAtTarget: async (node, id, deadlineAt) => await this.runAtTarget(node, id, deadlineAt) }))
      }
    }
    for (const node of nodes.values()) node.list(this.listed)
  }

  private at (sceneMs: number, action: () => void): void {
    this.time.clock.after(leadMs + sceneMs - this.time.now(), action)
  }

  /** Schedules the next arrival of a kind after a point of the scene: independent arrivals at the rate of that moment. */
  private scheduleArrival (kind: RequestKind, sceneMs: number): void {
    if (kind.perSecond === 0) return
    const rate = kind.perSecond * this.readFactor(sceneMs)
    const nextMs = sceneMs - Math.log(1 - this.arrivalRandom.fraction()) * 1_000 / rate
    if (nextMs >= this.scene.lengthMs) return
    this.at(nextMs, () => {
      this.serveCaller(kind, nextMs).catch((error: unknown) => { throw error })
      this.scheduleArrival(kind, nextMs)
    })
  }

  private readFactor (sceneMs: number): number {
    return this.scene.disturbances.reduce((factor, { fromMs, toMs, load = 1 }) => sceneMs >= fromMs && sceneMs < toMs ? factor * load : factor, 1)
  }

  /** Share of the requests that a target rejects now. */
  private readShed ({ target }: SceneNode): number {
    const sceneMs = this.time.now() - leadMs
    const active = this.scene.disturbances.filter(({ fromMs, toMs }) => sceneMs >= fromMs && sceneMs < toMs)
    const { service } = target.group
    const position = this.targets.filter(({ group }) => group.service === service).indexOf(target)
    return active.reduce((share, { shed }) => shed?.service === service && position >= target.group.count - (shed.count ?? Infinity) ? shed.share : share, 0)
  }

  /** Sends a request of a caller, and once more when it is told when to come back. */
  private async serveCaller (kind: RequestKind, sceneMs: number): Promise<void> {
    const startedAt = this.time.now()
    let outcome = await this.send(kind, this.pickNode(), startedAt, startedAt + kind.timeoutMs)
    let again = false
    const remainingMs = startedAt + kind.timeoutMs - this.time.now()
    if (isFailure(outcome) && remainingMs > 0 && (outcome.kind === 'not-run' || kind.idempotent)) {
      again = outcome.kind === 'not-run'
      await this.time.clock.sleep(outcome.kind === 'not-run' ? Math.min(outcome.retryAfterMs, remainingMs * maxRetryAfterShare) : 0)
      outcome = await this.send(kind, this.pickNode(), startedAt, startedAt + kind.timeoutMs)
    }
    this.record(kind, sceneMs, this.rate(kind, startedAt, outcome), again)
  }

  private rate (kind: RequestKind, startedAt: number, outcome: Outcome): Ending {
    const tookMs = this.time.now() - startedAt
    if (!isFailure(outcome) && tookMs <= kind.timeoutMs) return tookMs <= kind.objectiveMs ? 'in-time' : 'late'
    return outcome.kind === 'not-run' ? 'refused' : 'failed'
  }

  private async send (kind: RequestKind, node: SceneNode, startedAt: number, deadlineAt: number): Promise<Outcome> {
    const { name, service, objectiveMs, priority, idempotent } = kind
    const id = `${name} ${++this.requestCount}`
    const job = { id, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), route: name, service, caller: '', idempotent, objectiveMs, priority, mayWait: false, objectiveAt: startedAt + objectiveMs, deadlineAt }
    const route = { name, host: '', prefix: '/', kind: idempotent ? 'idempotent' as const : 'non-idempotent' as const, timeoutMs: kind.timeoutMs, objectiveMs, priority, maxAttempts: 2, shares: [] }
    return await node.forwarder.run(job, route, Cancellation.create())
  }

  private async runAtTarget (node: SceneNode, id: string, deadlineAt: number): Promise<TargetResult> {
    const kind = this.kinds.get(id.slice(0, id.lastIndexOf(' '))) as RequestKind
    const { call } = kind
    const makesCall = call !== undefined && this.random.fraction() < call.share
    return await node.target.run(kind.workMs, deadlineAt, this.readShed(node), async () => {
      if (!makesCall) return true
      const called = this.kinds.get(call.kind) as RequestKind
      const startedAt = this.time.now()
      return !isFailure(await this.send(called, node, startedAt, Math.min(deadlineAt, startedAt + called.timeoutMs)))
    })
  }

  private pickNode (): SceneNode {
    const nodes = [...this.nodes.values()]
    return nodes[Math.floor(this.random.fraction() * nodes.length)] as SceneNode
  }

  private record (kind: RequestKind, sceneMs: number, ending: Ending, again: boolean): void {
    const byKind = this.kindTallies.get(kind.name) ?? createTally()
    this.kindTallies.set(kind.name, byKind)
    for (const tally of [this.total, byKind, this.windows[Math.floor(sceneMs / windowMs)] as Tally]) addEnding(tally, kind, ending, again)
  }
}

function isFailure (outcome: Outcome): boolean {
  return outcome.kind !== 'answer' || outcome.status >= 500
}

function createTally (): Tally {
  return { requests: 0, inTime: 0, late: 0, refused: 0, failed: 0, refusedAgain: 0, worthOwed: 0, worthEarned: 0 }
}

function addEnding (tally: Tally, { worth }: RequestKind, ending: Ending, again: boolean): void {
  tally.requests++
  tally.worthOwed += worth
  switch (ending) {
    case 'in-time':
      tally.inTime++
      tally.worthEarned += worth
      return
    case 'late':
      tally.late++
      tally.worthEarned += worth * lateShare
      return
    case 'refused':
      tally.refused++
      if (again) tally.refusedAgain++
      return
    case 'failed':
      tally.failed++
  }
}
