import type { Clock } from 'auburnturn/core/clock'
import { computeRateWaitMs } from '../rate-limit/index.js'
import { listOutageMs, maxRemovedIds, missingEntryGraceMs, reportRetentionMs, slowFactor, unlistedUseMs, unresponsiveAfterMs, usableSlotShare } from './constants.js'
import { LocationIndex } from './location-index.js'
import { OutstandingRequests } from './outstanding-requests.js'
import type { Candidate, ListedTarget, TargetLocations, TargetReport } from './types.js'

/** An entry of the platform's list with the state that this node keeps for it. Part of the dump. Times are clock milliseconds. */
interface Listing {
  target: ListedTarget
  /** End of the slow start of the target. */
  readonly coldUntil: number
  /** Set while the entry is missing from the list but may still return: when it counts as removed. */
  goneAt: number | undefined
}

/** The last report of the node on one VM. Part of the dump. Times are clock milliseconds. */
interface ReceivedReport {
  readonly report: TargetReport
  readonly at: number
  /** When the first report of this incarnation of the target was received. */
  readonly since: number
}

/** All targets known to this node: the list in the platform's store, corrected by the reports of the nodes on the targets' VMs. */
export class Directory {
  private readonly clock: Clock
  private readonly selectAddresses: AddressSelector | undefined
  private readonly locationIndex = LocationIndex.create()
  private readonly listings = new Map<string, Listing>()
  private readonly reports = new Map<string, ReceivedReport>()
  private readonly outstanding = OutstandingRequests.create()
  /** Ids of targets that were removed from the list: a report does not make them usable again. */
  private readonly removedIds = new Set<string>()
  /** Clock milliseconds of the last answer that the platform's list gave, to this node or to a reader. */
  private listResponseAt = -Infinity
  /** Clock milliseconds of the end of the last outage of the list. */
  private listRestoredAt = -Infinity

  private constructor ({ clock, selectAddresses }: DirectoryOptions) {
    this.clock = clock
    this.selectAddresses = selectAddresses
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Records that the platform's list is available. After an outage, missing entries get time to return. */
  recordListResponse (): void {
    const now = this.clock.now()
    if (now - this.listResponseAt > listOutageMs && this.listResponseAt > -Infinity) this.listRestoredAt = now
    this.listResponseAt = now
  }

  /** Replaces all listed targets. */
  replace (targets: readonly ListedTarget[]): void {
    const present = new Set(targets.map(({ id }) => id))
    for (const target of targets) this.put(target)
    for (const id of [...this.listings.keys()]) if (!present.has(id)) this.remove(id)
  }

  /** Adds or updates a listed target. */
  put (target: ListedTarget): void {
    const previous = this.listings.get(target.id)
    const coldUntil = this.clock.now() + target.coldMs
    if (previous === undefined || !isSameLocation(previous.target, target)) {
      if (previous !== undefined) this.locationIndex.removeListed(previous.target)
      this.locationIndex.addListed(target)
    }
    this.listings.set(target.id, { target, coldUntil, goneAt: undefined })
    if (previous === undefined) this.removedIds.delete(target.id)
  }

  /**
   * Removes an entry that is missing from the list. Shortly after an outage of the list, the entry of a ready target is
   * removed only if it does not return in time.
   */
  remove (id: string): void {
    const listing = this.listings.get(id)
    if (listing === undefined) return
    const now = this.clock.now()
    const mayReturn = now - this.listRestoredAt < missingEntryGraceMs && listing.target.state === 'ready'
    if (!mayReturn) return this.removeListing(id)
    listing.goneAt ??= this.listRestoredAt + missingEntryGraceMs
  }

  /** Records the report of the node at `ip` about its own target. */
  recordReport (ip: string, report: TargetReport): void {
    const previous = this.reports.get(ip)
    const sameTarget = previous !== undefined && previous.report.id === report.id
    if (!sameTarget) this.locationIndex.recordReport(ip, report)
    this.reports.set(ip, { report, at: this.clock.now(), since: sameTarget ? previous.since : this.clock.now() })
    this.outstanding.recordReport(report.id)
  }

  /** Whether a target of the service is known at an address. */
  hasTargetAt (ip: string, service: string): boolean {
    return this.locationIndex.has(ip, service)
  }

  /** Updates the figures in the last report of the node at `ip`, if `isSameTarget` accepts the id of the target in it. */
  recordFigures (ip: string, figures: Partial<TargetReport>, isSameTarget: (id: string) => boolean): void {
    const previous = this.reports.get(ip)
    if (previous !== undefined && isSameTarget(previous.report.id)) this.recordReport(ip, { ...previous.report, ...figures })
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

  /** Whether an incarnation of a target is listed as ready. */
  isListedAsReady (id: string): boolean {
    const listing = this.findListing(id)
    return listing !== undefined && listing.target.state === 'ready'
  }

  /** Whether a target is listed as draining, or its entry has been removed. */
  isLeaving (id: string): boolean {
    return this.removedIds.has(id) || this.findListing(id)?.target.state === 'draining'
  }

  /** Returns the targets of a service that may be chosen now, on the selected nodes or on any node. */
  findCandidates (service: string, scope: 'selected' | 'any' = 'selected'): Candidate[] {
    const candidates: Candidate[] = []
    const now = this.clock.now()
    const selected = scope === 'selected' ? this.selectAddresses?.(service) : undefined
    for (const ip of selected ?? this.locationIndex.getServiceAddresses(service)) {
      const recent = this.findRecentReport(ip, now)
      for (const id of this.locationIndex.getListedIds(ip)) {
        const listing = this.findListing(id)
        if (listing === undefined || listing.target.service !== service || listing.target.state !== 'ready') continue
        // If the node reports another incarnation, or none yet, this entry is outdated and about to expire.
        if (recent === undefined || recent.report.id === id) candidates.push(this.createListedCandidate(listing, recent, now))
      }
      const latest = this.reports.get(ip)
      if (latest !== undefined && this.isUsableUnlisted(latest, service, now)) candidates.push(this.createUnlistedCandidate(ip, latest, now))
    }
    return candidates
  }

  /** The locations of targets according to the list and to the reports of nodes. */
  get locations (): TargetLocations {
    return this.locationIndex
  }

  /** The listed targets without currently missing entries, for nodes that can't read the list themselves. */
  get listedTargets (): ListedTarget[] {
    return [...this.listings.values()].filter(({ goneAt }) => goneAt === undefined).map(({ target }) => target)
  }

  /** Returns the listed target at an `IP:PORT`; the newest if several incarnations are listed. */
  findListedAt (address: string): ListedTarget | undefined {
    const ids = this.locationIndex.getListedIds(address.slice(0, address.lastIndexOf(':')))
    return ids.map(id => this.listings.get(id)?.target).filter(target => target?.address === address).at(-1)
  }

  /** Returns the milliseconds since the last report of the node at `ip`; Infinity if there is none. */
  getReportAgeMs (ip: string): number {
    const received = this.reports.get(ip)
    return received === undefined ? Infinity : this.clock.now() - received.at
  }

  /** Records that this node has sent a request to a target. */
  recordRequestStart (id: string): void {
    this.outstanding.recordStart(id)
  }

  /** Records that a request sent to a target has ended, whatever its outcome. */
  recordRequestEnd (id: string): void {
    this.outstanding.recordEnd(id)
  }

  dump (): unknown {
    return { listed: [...this.listings.values()], heard: [...this.reports], sent: this.outstanding.dump() }
  }

  /** Returns the last report of the node at `ip`, unless the node is unresponsive. */
  private findRecentReport (ip: string, now: number): ReceivedReport | undefined {
    const received = this.reports.get(ip)
    return received !== undefined && now - received.at <= unresponsiveAfterMs ? received : undefined
  }

  /** Returns a listed target; removes it if its entry is missing and can no longer return. */
  private findListing (id: string): Listing | undefined {
    const listing = this.listings.get(id)
    if (listing?.goneAt !== undefined && this.clock.now() >= listing.goneAt) {
      this.removeListing(id)
      return undefined
    }
    return listing
  }

  private removeListing (id: string): void {
    const listing = this.listings.get(id)
    if (listing !== undefined) this.locationIndex.removeListed(listing.target)
    this.listings.delete(id)
    this.removedIds.add(id)
    this.prune()
  }

  /** Discards the oldest removed id above the maximum, and expired reports. */
  private prune (): void {
    const [oldest] = this.removedIds
    if (oldest !== undefined && this.removedIds.size > maxRemovedIds) this.removedIds.delete(oldest)
    for (const ip of [...this.reports.keys()]) {
      if (this.getReportAgeMs(ip) <= reportRetentionMs) continue
      this.reports.delete(ip)
      this.locationIndex.removeReport(ip)
    }
  }

  /** Whether a target that is not listed yet may be used on the report of its node alone. */
  private isUsableUnlisted ({ report, since }: ReceivedReport, service: string, now: number): boolean {
    if (report.service !== service || !report.fresh || report.id === '') return false
    if (this.listings.has(report.id) || this.removedIds.has(report.id)) return false
    return now - since < unlistedUseMs
  }

  /** Without a recent report, the load is estimated from the requests of this node alone, and a slowness of 1.5 is assumed. */
  private createListedCandidate ({ target, coldUntil }: Listing, received: ReceivedReport | undefined, now: number): Candidate {
    const { id, service, ip, failureDomain } = target
    const cold = coldUntil > now
    if (received !== undefined) return { ...this.createReportedCandidate(ip, received, now), failureDomain, cold }
    const { underWay } = this.outstanding.read(id)
    const limit = Math.max(1, Math.floor(target.slots * usableSlotShare))
    return { id, service, ip, failureDomain, state: 'up', running: underWay, waiting: 0, limit, slowness: 1.5, cold, failures: 0, rateWaitMs: 0, reportAgeMs: this.getReportAgeMs(ip) }
  }

  private createUnlistedCandidate (ip: string, received: ReceivedReport, now: number): Candidate {
    return { ...this.createReportedCandidate(ip, received, now), cold: true }
  }

  /** Adds the requests of this node that the report can't include to the reported load. */
  private createReportedCandidate (ip: string, { report, at }: ReceivedReport, now: number): Candidate {
    const { id, service, failureDomain, state, running, waiting, limit, slowness, failures } = report
    const { underWay, unreported } = this.outstanding.read(id)
    const rateWaitMs = computeRateWaitMs({ rateLimit: report.rateLimit, rateAllowance: report.rateAllowance - unreported })
    return { id, service, ip, failureDomain, state, running: Math.max(running + unreported, underWay), waiting, limit, slowness, failures, rateWaitMs, cold: false, reportAgeMs: now - at }
  }
}

function isSameLocation (one: ListedTarget, other: ListedTarget): boolean {
  return one.ip === other.ip && one.service === other.service && one.failureDomain === other.failureDomain
}

interface DirectoryOptions {
  readonly clock: Clock
  /** Restricts the candidates to selected nodes; all known nodes by default. */
  readonly selectAddresses?: AddressSelector
}

/** Returns the addresses of the nodes selected for a service. */
type AddressSelector = (service: string) => Iterable<string>
