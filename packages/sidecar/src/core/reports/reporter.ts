import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { TargetReport } from '../targets/index.js'
import { encodeReport, encodeShortReport } from './codec.js'
import type { Report } from './codec.js'
import { farLoadStep, heartbeatMs, lookMs, nearLoadStep, slownessStep } from './constants.js'

/** Addresses of other nodes, by whether they are in the same failure domain. */
export interface Receivers {
  readonly near: readonly string[]
  readonly far: readonly string[]
}

/** What a group of receivers was told last. */
interface Told {
  readonly loadStep: number
  report: Report | undefined
  /** When the last full report went out. */
  fullAt: number
}

/** Tells the other nodes how the own target does: changes at once, and a heartbeat. */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private readonly near: Told = { loadStep: nearLoadStep, report: undefined, fullAt: -Infinity }
  private readonly far: Told = { loadStep: farLoadStep, report: undefined, fullAt: -Infinity }

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(lookMs, () => { this.tell() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Looks at the present figures and sends them where they are worth it. */
  tell (): void {
    const { describe, receivers } = this.options
    const report = describe()
    const groups = receivers()
    this.tellGroup(this.near, groups.near, report)
    this.tellGroup(this.far, groups.far, report)
  }

  close (): void {
    this.cancel()
  }

  private tellGroup (told: Told, ips: readonly string[], report: Report): void {
    const { clock, send } = this.options
    const full = told.report === undefined || clock.now() - told.fullAt >= heartbeatMs || isOther(report, told.report)
    if (!full && !isChanged(report.target, told.report?.target ?? report.target, told.loadStep)) return
    told.report = report
    if (full) told.fullAt = clock.now()
    const bytes = full ? encodeReport(report) : encodeShortReport(report.target)
    for (const ip of ips) send(bytes, ip)
  }
}

/** Whether a report says what a short one can't. */
function isOther (one: Report, other: Report): boolean {
  return one.configurationVersion !== other.configurationVersion || one.target.id !== other.target.id ||
    one.target.state !== other.target.state || one.target.fresh !== other.target.fresh
}

function isChanged (one: TargetReport, other: TargetReport, loadStep: number): boolean {
  const slowness = one.slowness / other.slowness
  if (slowness > slownessStep || slowness < 1 / slownessStep) return true
  return Math.abs(one.running + one.waiting - other.running - other.waiting) >= loadStep
}

interface ReporterOptions {
  readonly clock: Clock
  readonly describe: () => Report
  readonly receivers: () => Receivers
  readonly send: (bytes: Buffer, ip: string) => void
}
