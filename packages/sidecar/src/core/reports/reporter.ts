import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { TargetReport } from '../targets/index.js'
import { encodeReport, encodeShortReport } from './codec.js'
import type { Report } from './codec.js'
import { crossDomainLoadStep, fullReportIntervalMs, heartbeatIntervalMs, minLoadReportIntervalMs, reportCheckIntervalMs, sameDomainLoadStep, slownessChangeFactor } from './constants.js'

/** Addresses of subscribed nodes, by whether they are in the own failure domain. */
export interface Subscribers {
  readonly sameDomain: readonly string[]
  readonly crossDomain: readonly string[]
}

/** The load threshold of a group of subscribers, and the last report sent to it. */
interface SubscriberGroup {
  /** Change of load, in requests, from which on the group gets a report. */
  readonly loadStep: number
  report: Report | undefined
  /** Clock milliseconds of the last report. */
  sentAt: number
  /** Clock milliseconds of the last full report. */
  fullSentAt: number
}

/**
 * Reports the state of the target on this VM to subscribed nodes: significant changes as they occur, and a heartbeat
 * otherwise. A new incarnation or state of the target is reported to all nodes.
 */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private readonly sameDomain: SubscriberGroup = { loadStep: sameDomainLoadStep, report: undefined, sentAt: -Infinity, fullSentAt: -Infinity }
  private readonly crossDomain: SubscriberGroup = { loadStep: crossDomainLoadStep, report: undefined, sentAt: -Infinity, fullSentAt: -Infinity }
  /** The last report that was sent to all nodes. */
  private announced: TargetReport | undefined

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(reportCheckIntervalMs, () => { this.reportChanges() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Sends the present state to the nodes for which it has changed enough, or whose heartbeat is due. */
  reportChanges (): void {
    const { describe, subscribers, otherAddresses } = this.options
    const report = describe()
    if (this.announced === undefined || hasNewIncarnationOrState(report.target, this.announced)) {
      this.announced = report.target
      this.sendFull(report, otherAddresses())
      // A node that missed this report can't use short ones, so the next report to each group is full again.
      this.recordSent(this.sameDomain, 'short', report)
      this.recordSent(this.crossDomain, 'short', report)
      this.sameDomain.fullSentAt = this.crossDomain.fullSentAt = -Infinity
      return
    }
    const sameDomainKind = this.selectKind(this.sameDomain, report)
    const crossDomainKind = this.selectKind(this.crossDomain, report)
    if (sameDomainKind === 'none' && crossDomainKind === 'none') return
    const groups = subscribers()
    this.sendToGroup(this.sameDomain, sameDomainKind, groups.sameDomain, report)
    this.sendToGroup(this.crossDomain, crossDomainKind, groups.crossDomain, report)
  }

  /** Sends a full report to a node that has just subscribed. */
  sendFullReport (ip: string): void {
    this.sendFull(this.options.describe(), [ip])
  }

  close (): void {
    this.cancel()
  }

  /** Returns the kind of report that a group needs now. */
  private selectKind (group: SubscriberGroup, report: Report): 'full' | 'short' | 'none' {
    const now = this.options.clock.now()
    const kind = now - group.fullSentAt >= fullReportIntervalMs ? 'full' : 'short'
    if (group.report === undefined || report.configurationVersion !== group.report.configurationVersion) return 'full'
    if (now - group.sentAt >= heartbeatIntervalMs || hasSlownessChanged(report.target, group.report.target) || hasRateLimitChanged(report.target, group.report.target)) return kind
    const changed = now - group.sentAt >= minLoadReportIntervalMs && hasLoadChanged(report.target, group.report.target, group.loadStep)
    return changed ? kind : 'none'
  }

  private sendToGroup (group: SubscriberGroup, kind: 'full' | 'short' | 'none', ips: readonly string[], report: Report): void {
    if (kind === 'none') return
    this.recordSent(group, kind, report)
    if (kind === 'full') return this.sendFull(report, ips)
    const bytes = encodeShortReport(report.target)
    for (const ip of ips) this.options.send(bytes, ip)
  }

  private recordSent (group: SubscriberGroup, kind: 'full' | 'short', report: Report): void {
    group.report = report
    group.sentAt = this.options.clock.now()
    if (kind === 'full') group.fullSentAt = group.sentAt
  }

  private sendFull (report: Report, ips: Iterable<string>): void {
    const bytes = encodeReport(report)
    for (const ip of ips) this.options.send(bytes, ip)
  }
}

/** Whether the incarnation or state of the target has changed, which is reported to all nodes. */
function hasNewIncarnationOrState (current: TargetReport, previous: TargetReport): boolean {
  return current.id !== previous.id || current.state !== previous.state || current.fresh !== previous.fresh
}

function hasSlownessChanged (current: TargetReport, previous: TargetReport): boolean {
  const ratio = current.slowness / previous.slowness
  return ratio > slownessChangeFactor || ratio < 1 / slownessChangeFactor
}

/** Whether the target names another limit, or its limit has begun or ceased to hold requests back. */
function hasRateLimitChanged (current: TargetReport, previous: TargetReport): boolean {
  const isHeldBack = ({ rateAllowance }: TargetReport): boolean => rateAllowance < 1
  return current.rateLimit !== previous.rateLimit || isHeldBack(current) !== isHeldBack(previous)
}

function hasLoadChanged (current: TargetReport, previous: TargetReport, step: number): boolean {
  return Math.abs(current.running + current.waiting - previous.running - previous.waiting) >= step
}

interface ReporterOptions {
  readonly clock: Clock
  /** Returns a full report of the target on this VM. */
  readonly describe: () => Report
  /** Returns the nodes that are subscribed to reports. */
  readonly subscribers: () => Subscribers
  /** Addresses of all other nodes. */
  readonly otherAddresses: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
