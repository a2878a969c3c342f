import { Admission, Directory, Logger, MeasuringBudget, Notices, Prober, Quarantine, Router, subscribe, Target, notRun, probeBytes } from 'auburnturn'
import type { Answer, Attempt, Body, Call, Load, Outcome, Policy, Probe, Random } from 'auburnturn'
import { crashMs, domainMs, domains, downMs, relayMs } from './constants.js'
import type { Scene } from './types.js'
import { Upstream } from './upstream.js'
import type { VirtualTime } from './virtual-time.js'

/** The request that crashes whichever upstream runs it. */
export const killerPath = '/kill'

/** Work of a call at speed 1, in milliseconds, as its path tells; the same wherever the call runs. */
export function readWork ({ path }: Call): number {
  return path === killerPath ? 10 * crashMs : Number(path.slice(1))
}

/** One node: the real router, admission and target around a fake upstream. */
export class TargetNode {
  readonly id: string
  readonly domain: number
  readonly admission: Admission
  readonly upstream: Upstream
  readonly target: Target
  readonly directory: Directory
  readonly notices: Notices
  /** Where the upstream calls on after its own work, in a chain of calls. */
  next: ((call: Call) => Promise<Outcome>) | undefined
  private readonly quarantine: Quarantine
  router!: Router
  budget!: MeasuringBudget
  prober: Prober | undefined
  /** Times at which messages were sent to measure. */
  readonly sentAt: number[] = []
  answered = 0
  private readonly time: VirtualTime
  private readonly scene: Scene
  private readonly index: number
  private readonly history: Array<{ readonly at: number, readonly load: Load }> = []

  private constructor (index: number, time: VirtualTime, scene: Scene, random: Random) {
    this.index = index
    this.id = `target-${index}`
    this.domain = index % domains
    this.time = time
    this.scene = scene
    this.notices = Notices.create({ clock: time.clock })
    this.quarantine = Quarantine.create({ clock: time.clock, notices: this.notices })
    this.directory = Directory.create({ clock: time.clock, logger: Logger.createSilent(), notices: Notices.create({ clock: time.clock }), getMaxRemovalShare: () => 0 })
    this.admission = Admission.create({ clock: time.clock })
    this.upstream = Upstream.create({ time, speed: scene.speed(index, random), failure: scene.failure(index) })
    this.target = Target.create({ incarnation: `first-${index}`, clock: time.clock, admission: this.admission, quarantine: this.quarantine, run: async call => await this.work(call) })
  }

  static create (options: { index: number, time: VirtualTime, scene: Scene, random: Random }): TargetNode {
    return new TargetNode(options.index, options.time, options.scene, options.random)
  }

  /** Makes the router once all nodes exist. */
  connect (nodes: ReadonlyMap<string, TargetNode>, policy: Policy, random: Random, probing: boolean): void {
    const { time: { clock }, directory, scene } = this
    const remote: Attempt = async (call, member, body, answer) => await this.send(nodes.get(member.id) as TargetNode, call, body, answer)
    const local = { id: this.id, service: 'orders', target: this.target }
    const { quarantine } = this
    this.router = Router.create({ clock, random, directory, remote, policy, quarantine, ...(this.isTarget ? { local } : {}) })
    if (probing) this.relay(nodes)
    this.budget = MeasuringBudget.create({ clock, random, limits: () => scene.profile.measuring })
    if (!probing) return
    const probe: Probe = async member => await this.probe(nodes.get(member.id) as TargetNode)
    this.prober = Prober.create({ clock, budget: this.budget, balancers: () => this.router.balancers, probe, ownTargetId: this.id })
  }

  /** The load as a report shows it by now: as old as the scene says, or untrue. */
  reportLoad (): Load {
    const { load } = this.admission
    if (this.scene.lies && this.index === 0) return { ...load, running: 0, queued: 0 }
    if (this.scene.lies && this.index === 1) return { ...load, running: load.limit, queued: load.limit }
    if (this.scene.reportAgeMs === 0) return load
    this.history.push({ at: this.time.now(), load })
    const seen = this.time.now() - this.scene.reportAgeMs
    while (this.history.length > 1 && (this.history[1] as { at: number }).at <= seen) this.history.shift()
    return (this.history[0] as { load: Load }).load
  }

  /** Whether an upstream stands beside the router; callers that embed one have none. */
  get isTarget (): boolean {
    return this.index < this.scene.targets
  }

  /** Tells the other nodes of suspects, as the relay between nodes does. */
  private relay (nodes: ReadonlyMap<string, TargetNode>): void {
    subscribe(this.time.clock, this.notices.changes, ({ kind, subject, expiresAt }) => {
      const remainingMs = expiresAt - this.time.now()
      this.time.setTimer(() => {
        for (const node of nodes.values()) node.notices.add(kind, subject, remainingMs)
      }, relayMs)
    }, () => {})
  }

  private async work (call: Call): Promise<Outcome> {
    if (call.path === killerPath) this.time.setTimer(() => { this.upstream.crash(downMs) }, crashMs)
    const outcome = await this.runUpstream(call)
    if (outcome.verdict.kind !== 'done' || this.next === undefined) return outcome
    const below = await this.next(call)
    return below.verdict.kind === 'done' ? below : { ...below, status: 502 }
  }

  private async runUpstream (call: Call): Promise<Outcome> {
    const outcome = await this.upstream.run(readWork(call), call.signal, call.deadline)
    if (outcome.verdict.kind === 'done') this.answered++
    return outcome
  }

  private async send (other: TargetNode, call: Call, body: Body, answer: Answer): Promise<Outcome> {
    await this.travel(other)
    if (call.signal.aborted) return { verdict: notRun('caller-gone') }
    const outcome = await other.router.run({ ...call, forwarded: true }, body, answer)
    const load = other.reportLoad()
    await this.travel(other)
    return { ...outcome, load }
  }

  private async probe (other: TargetNode): ReturnType<Probe> {
    this.sentAt.push(this.time.now())
    await this.travel(other)
    if (!other.budget.tryConsume(probeBytes)) return undefined
    other.sentAt.push(this.time.now())
    const load = other.reportLoad()
    await this.travel(other)
    return { load, incarnation: other.target.incarnation }
  }

  private async travel (other: TargetNode): Promise<void> {
    if (other.domain === this.domain) return
    await new Promise<void>(resolve => { this.time.setTimer(resolve, domainMs) })
  }
}
