import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { TargetReport } from '../targets/index.js'
import { encodeReport, encodeShortReport } from './codec.js'
import type { Report } from './codec.js'
import { crossDomainLoadStep, fullReportIntervalMs, heartbeatIntervalMs, minLoadReportIntervalMs, reportCheckIntervalMs, sameDomainLoadStep, slownessChangeFactor } from './constants.js'

/** Addresses of other nodes, by whether they are in the same failure domain. */
export interface Receivers {
  readonly sameDomain: readonly string[]
  readonly crossDomain: readonly string[]
}

/** What a group of receivers was told last. */
interface SentReport {
  readonly loadStep: number
  report: Report | undefined
  /** When the last report went out, and the last full one. */
  sentAt: number
  fullSentAt: number
}

/** Tells the nodes that want it how the own target does: changes at once, and a heartbeat; all hear of another lifetime or state. */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private readonly sameDomain: SentReport = { loadStep: sameDomainLoadStep, report: undefined, sentAt: -Infinity, fullSentAt: -Infinity }
  private readonly crossDomain: SentReport = { loadStep: crossDomainLoadStep, report: undefined, sentAt: -Infinity, fullSentAt: -Infinity }
  /** What all nodes were told last. */
  private announced: TargetReport | undefined

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(reportCheckIntervalMs, () => { this.reportChanges() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Looks at the present figures and sends them where they are worth it. */
  reportChanges (): void {
    const { describe, receivers, otherNodes: otherNodes } = this.options
    const report = describe()
    if (this.announced === undefined || hasNewIncarnationOrState(report.target, this.announced)) {
      this.announced = report.target
      this.sendFull(report, otherNodes())
      // One that missed it can't read shorter ones: the next is full again.
      this.recordSent(this.sameDomain, 'short', report)
      this.recordSent(this.crossDomain, 'short', report)
      this.sameDomain.fullSentAt = this.crossDomain.fullSentAt = -Infinity
      return
    }
    const near = this.selectKind(this.sameDomain, report)
    const far = this.selectKind(this.crossDomain, report)
    if (near === 'none' && far === 'none') return
    const groups = receivers()
    this.sendToGroup(this.sameDomain, near, groups.sameDomain, report)
    this.sendToGroup(this.crossDomain, far, groups.crossDomain, report)
  }

  /** Tells a node that has just asked for reports. */
  sendFullReport (ip: string): void {
    this.sendFull(this.options.describe(), [ip])
  }

  close (): void {
    this.cancel()
  }

  /** What a group needs to hear now. */
  private selectKind (told: SentReport, report: Report): 'full' | 'short' | 'none' {
    const now = this.options.clock.now()
    const kind = now - told.fullSentAt >= fullReportIntervalMs ? 'full' : 'short'
    if (told.report === undefined || report.configurationVersion !== told.report.configurationVersion) return 'full'
    if (now - told.sentAt >= heartbeatIntervalMs || hasSlownessChanged(report.target, told.report.target)) return kind
    const changed = now - told.sentAt >= minLoadReportIntervalMs && hasLoadChanged(report.target, told.report.target, told.loadStep)
    return changed ? kind : 'none'
  }

  private sendToGroup (told: SentReport, kind: 'full' | 'short' | 'none', ips: readonly string[], report: Report): void {
    if (kind === 'none') return
    this.recordSent(told, kind, report)
    if (kind === 'full') return this.sendFull(report, ips)
    const bytes = encodeShortReport(report.target)
    for (const ip of ips) this.options.send(bytes, ip)
  }

  private recordSent (told: SentReport, kind: 'full' | 'short', report: Report): void {
    told.report = report
    told.sentAt = this.options.clock.now()
    if (kind === 'full') told.fullSentAt = told.sentAt
  }

  private sendFull (report: Report, ips: Iterable<string>): void {
    const bytes = encodeReport(report)
    for (const ip of ips) this.options.send(bytes, ip)
  }
}

/** Whether all nodes need to hear of it: another lifetime of the target, or another state. */
function hasNewIncarnationOrState (one: TargetReport, other: TargetReport): boolean {
  return one.id !== other.id || one.state !== other.state || one.fresh !== other.fresh
}

function hasSlownessChanged (one: TargetReport, other: TargetReport): boolean {
  const slowness = one.slowness / other.slowness
  return slowness > slownessChangeFactor || slowness < 1 / slownessChangeFactor
}

function hasLoadChanged (one: TargetReport, other: TargetReport, step: number): boolean {
  return Math.abs(one.running + one.waiting - other.running - other.waiting) >= step
}

interface ReporterOptions {
  readonly clock: Clock
  readonly describe: () => Report
  /** Nodes that want reports. */
  readonly receivers: () => Receivers
  /** Addresses of all other nodes. */
  readonly otherNodes: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
