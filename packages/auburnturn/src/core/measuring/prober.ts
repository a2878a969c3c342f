import type { Clock } from '../clock/index.js'
import type { Member } from '../membership/types.js'
import type { Balancer } from '../routing/index.js'
import type { Part } from '../supervisor/types.js'
import type { MeasuringBudget } from './budget.js'
import { maxPauseMs, minPauseMs, minReportAgeMs, noTargetPauseMs, probeBytes, probeTimeoutMs, serviceIdleMs, unresponsiveBackoffMs } from './constants.js'
import type { Probe } from './types.js'

/** Renews the oldest load reports of the services in use, within the measuring budget. */
export class Prober implements Part {
  private readonly options: ProberOptions
  private readonly closing = new AbortController()
  private readonly pending = new Set<string>()
  /** Targets that did not respond, with the clock time in milliseconds until which they are not probed. */
  private readonly unresponsiveUntil = new Map<string, number>()
  private readonly running: Promise<void>

  private constructor (options: ProberOptions) {
    this.options = options
    this.running = this.run()
  }

  /** Starts probing. */
  static create (options: ProberOptions): Prober {
    return new Prober(options)
  }

  async close (): Promise<void> {
    this.closing.abort()
    await this.running
  }

  dump (): unknown {
    return { ...(this.options.budget.dump() as object), pending: this.pending.size, silent: [...this.unresponsiveUntil.keys()] }
  }

  private async run (): Promise<void> {
    const { clock, budget } = this.options
    while (!this.closing.signal.aborted) {
      const waitMs = budget.computeWaitMs(probeBytes)
      const probed = waitMs === 0 && this.probeStalest()
      const shortestMs = waitMs === 0 && !probed ? noTargetPauseMs : minPauseMs
      const pauseMs = Math.min(maxPauseMs, Math.max(shortestMs, waitMs))
      await clock.sleep(pauseMs, this.closing.signal)
    }
  }

  /** Probes the target whose report is oldest; false when there is no target to probe or the budget is spent. */
  private probeStalest (): boolean {
    const stalest = this.findStalest()
    if (stalest === undefined || !this.options.budget.tryConsume(probeBytes)) return false
    this.sendProbe(stalest).catch(() => {})
    return true
  }

  private async sendProbe ({ member, service, balancer }: StaleTarget): Promise<void> {
    const { clock, probe } = this.options
    this.pending.add(member.id)
    const timeout = new AbortController()
    const cancel = clock.after(probeTimeoutMs, () => { timeout.abort() })
    try {
      const report = await probe(member, service, AbortSignal.any([timeout.signal, this.closing.signal]))
      if (report === undefined) this.unresponsiveUntil.set(member.id, clock.now() + unresponsiveBackoffMs)
      else balancer.recordReport(member, report.load, report.incarnation)
    } catch {
      this.unresponsiveUntil.set(member.id, clock.now() + unresponsiveBackoffMs)
    } finally {
      cancel()
      this.pending.delete(member.id)
    }
  }

  private findStalest (): StaleTarget | undefined {
    const now = this.options.clock.now()
    let stalest: StaleTarget | undefined
    for (const [service, balancer] of this.options.balancers()) {
      if (now - balancer.lastChosenAt > serviceIdleMs) continue
      const found = balancer.findStalest(member => this.mayProbe(member, now))
      if (found === undefined || now - found.loadAt < minReportAgeMs) continue
      if (stalest === undefined || found.loadAt < stalest.loadAt) stalest = { ...found, service, balancer }
    }
    return stalest
  }

  private mayProbe ({ id }: Member, now: number): boolean {
    const until = this.unresponsiveUntil.get(id)
    if (until !== undefined && until <= now) this.unresponsiveUntil.delete(id)
    return id !== this.options.ownTargetId && !this.pending.has(id) && !this.unresponsiveUntil.has(id)
  }
}

interface StaleTarget {
  readonly member: Member
  readonly loadAt: number
  readonly service: string
  readonly balancer: Balancer
}

interface ProberOptions {
  readonly clock: Clock
  readonly budget: MeasuringBudget
  readonly balancers: () => ReadonlyMap<string, Balancer>
  readonly probe: Probe
  /** Id of this node's own target, whose load is available without a probe. */
  readonly ownTargetId?: string
}
