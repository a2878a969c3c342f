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

/** Tells the nodes that want it how the own target does: changes at once, and a heartbeat; all hear of another lifetime or state. */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private readonly near: Told = { loadStep: nearLoadStep, report: undefined, fullAt: -Infinity }
  private readonly far: Told = { loadStep: farLoadStep, report: undefined, fullAt: -Infinity }
  /** What all nodes were told last. */
  private known: TargetReport | undefined

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(lookMs, () => { this.tell() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Looks at the present figures and sends them where they are worth it. */
  tell (): void {
    const { describe, receivers, others } = this.options
    const report = describe()
    if (this.known === undefined || isOther(report.target, this.known)) {
      this.known = report.target
      this.sendAll(report, others())
      this.near.fullAt = this.far.fullAt = this.options.clock.now()
      this.near.report = this.far.report = report
      return
    }
    const near = this.chooseKind(this.near, report)
    const far = this.chooseKind(this.far, report)
    if (near === 'none' && far === 'none') return
    const groups = receivers()
    this.tellGroup(this.near, near, groups.near, report)
    this.tellGroup(this.far, far, groups.far, report)
  }

  /** Tells a node that has just asked for reports. */
  greet (ip: string): void {
    this.sendAll(this.options.describe(), [ip])
  }

  close (): void {
    this.cancel()
  }

  /** What a group needs to hear now. */
  private chooseKind (told: Told, report: Report): 'full' | 'short' | 'none' {
    if (told.report === undefined || this.options.clock.now() - told.fullAt >= heartbeatMs) return 'full'
    if (report.configurationVersion !== told.report.configurationVersion) return 'full'
    return isChanged(report.target, told.report.target, told.loadStep) ? 'short' : 'none'
  }

  private tellGroup (told: Told, kind: 'full' | 'short' | 'none', ips: readonly string[], report: Report): void {
    if (kind === 'none') return
    told.report = report
    if (kind === 'full') {
      told.fullAt = this.options.clock.now()
      return this.sendAll(report, ips)
    }
    const bytes = encodeShortReport(report.target)
    for (const ip of ips) this.options.send(bytes, ip)
  }

  private sendAll (report: Report, ips: Iterable<string>): void {
    const bytes = encodeReport(report)
    for (const ip of ips) this.options.send(bytes, ip)
  }
}

/** Whether all nodes need to hear of it: another lifetime of the target, or another state. */
function isOther (one: TargetReport, other: TargetReport): boolean {
  return one.id !== other.id || one.state !== other.state || one.fresh !== other.fresh
}

function isChanged (one: TargetReport, other: TargetReport, loadStep: number): boolean {
  const slowness = one.slowness / other.slowness
  if (slowness > slownessStep || slowness < 1 / slownessStep) return true
  return Math.abs(one.running + one.waiting - other.running - other.waiting) >= loadStep
}

interface ReporterOptions {
  readonly clock: Clock
  readonly describe: () => Report
  /** Nodes that want reports. */
  readonly receivers: () => Receivers
  /** Addresses of all other nodes. */
  readonly others: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
