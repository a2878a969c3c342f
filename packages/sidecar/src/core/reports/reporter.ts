import type { Cancel, Clock } from 'auburnturn/core/clock'
import { encodeReport } from './codec.js'
import type { Report } from './codec.js'
import { heartbeatMs, loadIntervalMs, loadStep, slownessStep } from './constants.js'

/** Tells the other nodes how the own target does: changes at once, and a heartbeat. */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private last: Report | undefined
  private lastAt = -Infinity

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(loadIntervalMs, () => { this.tell() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Looks at the present figures and sends them where they are worth it. */
  tell (): void {
    const { clock, describe } = this.options
    const now = clock.now()
    const report = describe()
    if (!this.isDue(report, now)) return
    this.last = report
    this.lastAt = now
    const bytes = encodeReport(report)
    for (const ip of this.options.receivers()) this.options.send(bytes, ip)
  }

  close (): void {
    this.cancel()
  }

  private isDue (report: Report, now: number): boolean {
    const { last } = this
    const elapsed = now - this.lastAt
    if (last === undefined || elapsed >= heartbeatMs) return true
    const { target } = report
    if (target.state !== last.target.state || target.id !== last.target.id || target.fresh !== last.target.fresh) return true
    if (report.configurationVersion !== last.configurationVersion) return true
    const change = target.slowness / last.target.slowness
    if (change > slownessStep || change < 1 / slownessStep) return true
    if (elapsed < loadIntervalMs) return false
    const load = target.running + target.waiting - last.target.running - last.target.waiting
    return Math.abs(load) >= loadStep
  }
}

interface ReporterOptions {
  readonly clock: Clock
  readonly describe: () => Report
  /** Addresses to send to. */
  readonly receivers: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
