import { Admission, Directory, Logger, MeasuringBudget, Notices, Prober, Quarantine, Router, subscribe, Target, notRun, probeBytes } from 'auburnturn'
import type { Answer, Attempt, Body, Call, Load, Outcome, Policy, Probe, Random } from 'auburnturn'
import { crashDelayMs, crossDomainOneWayMs, failureDomainCount, crashOutageMs, noticeDelayMs } from './constants.js'
import type { Scenario } from './types.js'
import { SimulatedUpstream } from './simulated-upstream.js'
import type { VirtualTime } from './virtual-time.js'

/** Path of the request that crashes whichever upstream runs it. */
export const crashingPath = '/kill'

/** Reads the work of a call from its path: milliseconds at relative speed 1. It is the same on every target. */
export function readWorkMs ({ path }: Call): number {
  return path === crashingPath ? 10 * crashDelayMs : Number(path.slice(1))
}

/** One node: the real router, admission and target with a simulated upstream. */
export class SimulatedNode {
  readonly id: string
  readonly domainIndex: number
  readonly admission: Admission
  readonly upstream: SimulatedUpstream
  readonly target: Target
  readonly directory: Directory
  readonly notices: Notices
  /** In a chain of calls: the call to the next layer, which the upstream makes after its own work. */
  callNextLayer: ((call: Call) => Promise<Outcome>) | undefined
  private readonly quarantine: Quarantine
  router!: Router
  budget!: MeasuringBudget
  prober: Prober | undefined
  /** Times at which this node sent probes or answers to probes, in milliseconds. */
  readonly messageTimes: number[] = []
  /** Calls that the upstream completed. */
  answeredCount = 0
  private readonly time: VirtualTime
  private readonly scenario: Scenario
  private readonly index: number
  private readonly loadHistory: Array<{ readonly sampledAt: number, readonly load: Load }> = []

  private constructor (index: number, time: VirtualTime, scenario: Scenario, random: Random) {
    this.index = index
    this.id = `target-${index}`
    this.domainIndex = index % failureDomainCount
    this.time = time
    this.scenario = scenario
    this.notices = Notices.create({ clock: time.clock })
    this.quarantine = Quarantine.create({ clock: time.clock, notices: this.notices })
    this.directory = Directory.create({ clock: time.clock, logger: Logger.createSilent(), notices: Notices.create({ clock: time.clock }), getMaxRemovalShare: () => 0 })
    this.admission = Admission.create({ clock: time.clock })
    this.upstream = SimulatedUpstream.create({ time, speed: scenario.createSpeedSchedule(index, random), failure: scenario.createFailureSchedule(index) })
    this.target = Target.create({ incarnation: `first-${index}`, clock: time.clock, admission: this.admission, quarantine: this.quarantine, run: async call => await this.runCall(call) })
  }

  static create (options: { index: number, time: VirtualTime, scenario: Scenario, random: Random }): SimulatedNode {
    return new SimulatedNode(options.index, options.time, options.scenario, options.random)
  }

  /** Creates the router, and the prober if `probing`. Call it once all nodes exist. */
  createRouter (nodes: ReadonlyMap<string, SimulatedNode>, policy: Policy, random: Random, probing: boolean): void {
    const { time: { clock }, directory, scenario } = this
    const remote: Attempt = async (call, member, body, answer) => await this.forward(nodes.get(member.id) as SimulatedNode, call, body, answer)
    const local = { id: this.id, service: 'orders', target: this.target }
    const { quarantine } = this
    this.router = Router.create({ clock, random, directory, remote, policy, quarantine, ...(this.isTarget ? { local } : {}) })
    if (probing) this.relayNotices(nodes)
    this.budget = MeasuringBudget.create({ clock, random, limits: () => scenario.profile.measuring })
    if (!probing) return
    const probe: Probe = async member => await this.probe(nodes.get(member.id) as SimulatedNode)
    this.prober = Prober.create({ clock, budget: this.budget, balancers: () => this.router.balancers, probe, ownTargetId: this.id })
  }

  /** The load that a report shows at present; the scenario may make it outdated or false. */
  reportLoad (): Load {
    const { load } = this.admission
    if (this.scenario.falseReports && this.index === 0) return { ...load, running: 0, queued: 0 }
    if (this.scenario.falseReports && this.index === 1) return { ...load, running: load.limit, queued: load.limit }
    if (this.scenario.reportAgeMs === 0) return load
    this.loadHistory.push({ sampledAt: this.time.now(), load })
    const visibleAt = this.time.now() - this.scenario.reportAgeMs
    while (this.loadHistory.length > 1 && (this.loadHistory[1] as { sampledAt: number }).sampledAt <= visibleAt) this.loadHistory.shift()
    return (this.loadHistory[0] as { load: Load }).load
  }

  /** Whether this node has an upstream; routers embedded in callers have none. */
  get isTarget (): boolean {
    return this.index < this.scenario.targetCount
  }

  /** Sends notices about suspected requests to all nodes after a delay, in place of the relay between nodes. */
  private relayNotices (nodes: ReadonlyMap<string, SimulatedNode>): void {
    subscribe(this.time.clock, this.notices.changes, ({ kind, subject, expiresAt }) => {
      const remainingMs = expiresAt - this.time.now()
      this.time.setTimer(() => {
        for (const node of nodes.values()) node.notices.add(kind, subject, remainingMs)
      }, noticeDelayMs)
    }, () => {})
  }

  private async runCall (call: Call): Promise<Outcome> {
    if (call.path === crashingPath) this.time.setTimer(() => { this.upstream.crash(crashOutageMs) }, crashDelayMs)
    const outcome = await this.runUpstream(call)
    if (outcome.verdict.kind !== 'done' || this.callNextLayer === undefined) return outcome
    const nextOutcome = await this.callNextLayer(call)
    return nextOutcome.verdict.kind === 'done' ? nextOutcome : { ...nextOutcome, status: 502 }
  }

  private async runUpstream (call: Call): Promise<Outcome> {
    const outcome = await this.upstream.run(readWorkMs(call), call.signal, call.deadline)
    if (outcome.verdict.kind === 'done') this.answeredCount++
    return outcome
  }

  private async forward (other: SimulatedNode, call: Call, body: Body, answer: Answer): Promise<Outcome> {
    await this.delayOneWay(other)
    if (call.signal.aborted) return { verdict: notRun('caller-gone') }
    const outcome = await other.router.run({ ...call, forwarded: true }, body, answer)
    const load = other.reportLoad()
    await this.delayOneWay(other)
    return { ...outcome, load }
  }

  private async probe (other: SimulatedNode): ReturnType<Probe> {
    this.messageTimes.push(this.time.now())
    await this.delayOneWay(other)
    if (!other.budget.tryConsume(probeBytes)) return undefined
    other.messageTimes.push(this.time.now())
    const load = other.reportLoad()
    await this.delayOneWay(other)
    return { load, incarnation: other.target.incarnation }
  }

  /** Waits for the network delay to another node: none within a failure domain. */
  private async delayOneWay (other: SimulatedNode): Promise<void> {
    if (other.domainIndex === this.domainIndex) return
    await new Promise<void>(resolve => { this.time.setTimer(resolve, crossDomainOneWayMs) })
  }
}
