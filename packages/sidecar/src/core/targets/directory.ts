import type { Clock } from 'auburnturn/core/clock'
import { unlistedUseMs } from './constants.js'
import { createListedCandidate, createUnlistedCandidate, createUnreportedCandidate } from './create-candidate.js'
import { LocationIndex } from './location-index.js'
import { OutstandingRequests } from './outstanding-requests.js'
import { ReceivedReports } from './received-reports.js'
import type { ReceivedReport } from './received-reports.js'
import { TargetList } from './target-list.js'
import type { Candidate, ListedTarget, TargetLocations, TargetReport } from './types.js'

/** All targets known to this node: the list in the platform's store, corrected by the reports of the nodes on the targets' VMs. */
export class Directory {
  private readonly clock: Clock
  private readonly selectAddresses: AddressSelector | undefined
  private readonly locationIndex = LocationIndex.create()
  private readonly list: TargetList
  private readonly reports: ReceivedReports
  private readonly outstanding = OutstandingRequests.create()

  private constructor ({ clock, selectAddresses }: DirectoryOptions) {
    const { locationIndex } = this
    this.clock = clock
    this.selectAddresses = selectAddresses
    this.reports = ReceivedReports.create({ clock, locationIndex })
    this.list = TargetList.create({ clock, locationIndex, onRemove: () => { this.reports.discardExpired() } })
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Records that the platform's list is available. After an outage, missing entries get time to return. */
  recordListResponse (): void {
    this.list.recordResponse()
  }

  /** Records that the next list may hold entries as they were some seconds ago: of targets that have left since. */
  expectEarlierEntries (): void {
    this.list.expectEarlierEntries()
  }

  /** Replaces all listed targets. */
  replace (targets: readonly ListedTarget[]): void {
    this.list.replace(targets)
  }

  /** Adds or updates a listed target. */
  put (target: ListedTarget): void {
    this.list.put(target)
  }

  /**
   * Removes an entry that is missing from the list. Shortly after an outage of the list, the entry of a ready target is
   * removed only if it does not return in time.
   */
  remove (id: string): void {
    this.list.remove(id)
  }

  /** Records the report of the node at `ip` about its own target. */
  recordReport (ip: string, report: TargetReport): void {
    this.reports.record(ip, report)
    this.outstanding.recordReport(report.id)
  }

  /** Whether a target of the service is known at an address. */
  hasTargetAt (ip: string, service: string): boolean {
    return this.locationIndex.has(ip, service)
  }

  /** Updates the figures in the last report of the node at `ip`, if `isSameTarget` accepts the id of the target in it. */
  recordFigures (ip: string, figures: Partial<TargetReport>, isSameTarget: (id: string) => boolean): void {
    const previous = this.reports.find(ip)
    if (previous !== undefined && isSameTarget(previous.report.id)) this.recordReport(ip, { ...previous.report, ...figures })
  }

  /** Marks a target as slow or at its rate limit until its next report, since it has refused a request for that reason. */
  markRefusing (id: string, cause: 'slow' | 'rate-limited'): void {
    this.reports.markRefusing(id, cause)
  }

  /** Whether an incarnation of a target is listed as ready. */
  isListedAsReady (id: string): boolean {
    return this.list.find(id)?.target.state === 'ready'
  }

  /** Whether a target is listed as draining, or its entry has been removed. */
  isLeaving (id: string): boolean {
    return this.list.hasRemoved(id) || this.list.find(id)?.target.state === 'draining'
  }

  /** Returns the targets of a service that may be chosen now, on the selected nodes or on any node. */
  findCandidates (service: string, scope: 'selected' | 'any' = 'selected'): Candidate[] {
    const candidates: Candidate[] = []
    const now = this.clock.now()
    const selected = scope === 'selected' ? this.selectAddresses?.(service) : undefined
    for (const ip of selected ?? this.locationIndex.getServiceAddresses(service)) {
      this.addListedCandidates(candidates, ip, service, now)
      const latest = this.reports.find(ip)
      if (latest !== undefined && this.isUsableUnlisted(latest, service, now)) candidates.push(createUnlistedCandidate(ip, latest, this.outstanding.read(latest.report.id), now))
    }
    return candidates
  }

  /** The locations of targets according to the list and to the reports of nodes. */
  get locations (): TargetLocations {
    return this.locationIndex
  }

  /** The listed targets without currently missing entries, for nodes that can't read the list themselves. */
  get listedTargets (): ListedTarget[] {
    return this.list.targets
  }

  /** Returns the listed target at an `IP:PORT`; the newest if several incarnations are listed. */
  findListedAt (address: string): ListedTarget | undefined {
    return this.list.findAt(address)
  }

  /** Returns the milliseconds since the last report of the node at `ip`; Infinity if there is none. */
  getReportAgeMs (ip: string): number {
    return this.reports.getAgeMs(ip)
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
    return { listed: this.list.dump(), heard: this.reports.dump(), sent: this.outstanding.dump() }
  }

  /** Adds the candidates of a service that are listed at an address. */
  private addListedCandidates (candidates: Candidate[], ip: string, service: string, now: number): void {
    const recent = this.reports.findRecent(ip, now)
    for (const id of this.locationIndex.getListedIds(ip)) {
      const listing = this.list.find(id)
      if (listing === undefined || listing.target.service !== service || listing.target.state !== 'ready') continue
      const counts = this.outstanding.read(id)
      if (recent === undefined) candidates.push(createUnreportedCandidate(listing, counts, this.getReportAgeMs(ip), now))
      // If the node reports another incarnation, or none yet, this entry is outdated and about to expire.
      else if (recent.report.id === id) candidates.push(createListedCandidate(listing, recent, counts, now))
    }
  }

  /** Whether a target that is not listed yet may be used on the report of its node alone. */
  private isUsableUnlisted ({ report, since }: ReceivedReport, service: string, now: number): boolean {
    if (report.service !== service || !report.fresh || report.id === '') return false
    if (this.list.hasListed(report.id)) return false
    return now - since < unlistedUseMs
  }
}

interface DirectoryOptions {
  readonly clock: Clock
  /** Restricts the candidates to selected nodes; all known nodes by default. */
  readonly selectAddresses?: AddressSelector
}

/** Returns the addresses of the nodes selected for a service. */
type AddressSelector = (service: string) => Iterable<string>
