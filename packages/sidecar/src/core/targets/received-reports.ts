import type { Clock } from 'auburnturn/core/clock'
import { reportRetentionMs, slowFactor, unresponsiveAfterMs } from './constants.js'
import type { LocationIndex } from './location-index.js'
import type { TargetReport } from './types.js'

/** The last report of the node on one VM. Part of the dump. Times are clock milliseconds. */
export interface ReceivedReport {
  readonly report: TargetReport
  readonly at: number
  /** When the first report of this incarnation of the target was received. */
  readonly since: number
}

/** The last report of each node about the target on its VM. */
export class ReceivedReports {
  private readonly clock: Clock
  private readonly locationIndex: LocationIndex
  /** By the address of the node. */
  private readonly reports = new Map<string, ReceivedReport>()

  private constructor ({ clock, locationIndex }: ReceivedReportsOptions) {
    this.clock = clock
    this.locationIndex = locationIndex
  }

  static create (options: ReceivedReportsOptions): ReceivedReports {
    return new ReceivedReports(options)
  }

  /** Records the report of the node at `ip`. */
  record (ip: string, report: TargetReport): void {
    const previous = this.reports.get(ip)
    const sameTarget = previous !== undefined && previous.report.id === report.id
    if (!sameTarget) this.locationIndex.recordReport(ip, report)
    this.reports.set(ip, { report, at: this.clock.now(), since: sameTarget ? previous.since : this.clock.now() })
  }

  /** Marks a target as slow or at its rate limit until its next report, since it has refused a request for that reason. */
  markRefusing (id: string, cause: 'slow' | 'rate-limited'): void {
    for (const [ip, received] of this.reports) {
      const { report } = received
      if (report.id !== id) continue
      const marked = cause === 'slow' ? { slowness: Math.max(report.slowness, slowFactor) } : { rateAllowance: Math.min(report.rateAllowance, 0) }
      this.reports.set(ip, { ...received, report: { ...report, ...marked } })
    }
  }

  /** Returns the last report of the node at `ip`, however old it is. */
  find (ip: string): ReceivedReport | undefined {
    return this.reports.get(ip)
  }

  /** Returns the last report of the node at `ip`, unless the node is unresponsive at `now`. */
  findRecent (ip: string, now: number): ReceivedReport | undefined {
    const received = this.reports.get(ip)
    return received !== undefined && now - received.at <= unresponsiveAfterMs ? received : undefined
  }

  /** Returns the milliseconds since the last report of the node at `ip`; Infinity if there is none. */
  getAgeMs (ip: string): number {
    const received = this.reports.get(ip)
    return received === undefined ? Infinity : this.clock.now() - received.at
  }

  /** Discards the reports of nodes that have been unresponsive for a long time. */
  discardExpired (): void {
    for (const ip of [...this.reports.keys()]) {
      if (this.getAgeMs(ip) <= reportRetentionMs) continue
      this.reports.delete(ip)
      this.locationIndex.removeReport(ip)
    }
  }

  dump (): unknown {
    return [...this.reports]
  }
}

interface ReceivedReportsOptions {
  readonly clock: Clock
  /** Updated with the locations in the reports. */
  readonly locationIndex: LocationIndex
}
