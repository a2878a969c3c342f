import type { Clock } from 'auburnturn/core/clock'
import { reportRetentionMs, maxRemovedIds, listOutageMs, missingEntryGraceMs, unresponsiveAfterMs, slowFactor, unlistedUseMs, usableSlotShare } from './constants.js'
import { LocationIndex } from './location-index.js'
import type { Candidate, ListedTarget, TargetLocations, TargetReport } from './types.js'

/** A listed target with what was learned since. */
interface Listing {
  target: ListedTarget
  readonly coldUntil: number
  /** Set while the entry is missing, but may come back: when it counts as gone. */
  goneAt: number | undefined
}

/** The latest word of the node on one VM. */
interface ReceivedReport {
  readonly report: TargetReport
  readonly at: number
  /** When the target that it speaks of was first heard of. */
  readonly since: number
}

/** Requests that this node has under way at a target, and those that its node can't have counted yet. */
interface OutstandingRequests {
  underWay: number
  unreported: number
}

/** All targets known to this node: the platform's list, corrected by the nodes beside them. */
export class Directory {
  private readonly clock: Clock
  private readonly selectAddresses: AddressSelector | undefined
  private readonly locationIndex = LocationIndex.create()
  private readonly listings = new Map<string, Listing>()
  private readonly reports = new Map<string, ReceivedReport>()
  private readonly outstanding = new Map<string, OutstandingRequests>()
  /** Ids that were seen to leave: no word of a node brings them back. */
  private readonly removedIds = new Set<string>()
  private listResponseAt = -Infinity
  private listRestoredAt = -Infinity

  private constructor ({ clock, selectAddresses: selectAddresses }: DirectoryOptions) {
    this.clock = clock
    this.selectAddresses = selectAddresses
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Notes that the list has answered; after an outage, missing entries get time to come back. */
  recordListResponse (): void {
    const now = this.clock.now()
    if (now - this.listResponseAt > listOutageMs && this.listResponseAt > -Infinity) this.listRestoredAt = now
    this.listResponseAt = now
  }

  /** Takes the whole list. */
  replace (targets: readonly ListedTarget[]): void {
    const present = new Set(targets.map(({ id }) => id))
    for (const target of targets) this.put(target)
    for (const id of [...this.listings.keys()]) if (!present.has(id)) this.remove(id)
  }

  put (target: ListedTarget): void {
    const known = this.listings.get(target.id)
    const coldUntil = this.clock.now() + target.coldMs
    if (known === undefined || !isSameLocation(known.target, target)) {
      if (known !== undefined) this.locationIndex.removeListed(known.target)
      this.locationIndex.addListed(target)
    }
    this.listings.set(target.id, { target, coldUntil, goneAt: undefined })
    if (known === undefined) this.removedIds.delete(target.id)
  }

  /** An entry is missing: its target is gone, or comes back within moments after an outage of the list. */
  remove (id: string): void {
    const listing = this.listings.get(id)
    if (listing === undefined) return
    const now = this.clock.now()
    const doubtful = now - this.listRestoredAt < missingEntryGraceMs && listing.target.state === 'ready'
    if (!doubtful) return this.removeListing(id)
    listing.goneAt ??= this.listRestoredAt + missingEntryGraceMs
  }

  /** Takes the word of the node at `ip` of its own target. */
  recordReport (ip: string, report: TargetReport): void {
    const before = this.reports.get(ip)
    const same = before !== undefined && before.report.id === report.id
    if (!same) this.locationIndex.recordReport(ip, report)
    this.reports.set(ip, { report, at: this.clock.now(), since: same ? before.since : this.clock.now() })
    const sent = this.outstanding.get(report.id)
    if (sent !== undefined) sent.unreported = 0
  }

  /** Whether a target of the service was known at an address. */
  hasTargetAt (ip: string, service: string): boolean {
    return this.locationIndex.has(ip, service)
  }

  /** Takes newer figures of the target that the node at `ip` spoke of last; `isSame` tells by its id. */
  recordFigures (ip: string, figures: Partial<TargetReport>, isSame: (id: string) => boolean): void {
    const before = this.reports.get(ip)
    if (before !== undefined && isSame(before.report.id)) this.recordReport(ip, { ...before.report, ...figures })
  }

  /** A target has said that it works slowly, before its next report does. */
  markSlow (id: string): void {
    for (const [ip, heard] of this.reports) {
      if (heard.report.id !== id || heard.report.slowness >= slowFactor) continue
      this.reports.set(ip, { ...heard, report: { ...heard.report, slowness: slowFactor } })
    }
  }

  /** Whether the list shows a lifetime of a target as ready. */
  isListedAsReady (id: string): boolean {
    const listing = this.findListing(id)
    return listing !== undefined && listing.target.state === 'ready'
  }

  /** Whether a target was seen to leave: it drains, or its entry is gone. */
  isLeaving (id: string): boolean {
    return this.removedIds.has(id) || this.findListing(id)?.target.state === 'draining'
  }

  /** Targets of a service that may be chosen now: beside the selected nodes, or beside any. */
  findCandidates (service: string, beside: 'selected' | 'any' = 'selected'): Candidate[] {
    const found: Candidate[] = []
    const now = this.clock.now()
    const selected = beside === 'selected' ? this.selectAddresses?.(service) : undefined
    for (const ip of selected ?? this.locationIndex.addressesOf(service)) {
      const heard = this.findRecentReport(ip, now)
      for (const id of this.locationIndex.listedIdsAt(ip)) {
        const listing = this.findListing(id)
        if (listing === undefined || listing.target.service !== service || listing.target.state !== 'ready') continue
        // The node beside it knows another one in its place, or none yet: this entry is about to lapse.
        if (heard === undefined || heard.report.id === id) found.push(this.createListedCandidate(listing, heard, now))
      }
      const word = this.reports.get(ip)
      if (word !== undefined && this.isUsableUnlisted(word, service, now)) found.push(this.createUnlistedCandidate(ip, word, now))
    }
    return found
  }

  /** Where targets are, by the list and by the nodes beside them. */
  get locations (): TargetLocations {
    return this.locationIndex
  }

  /** The listed targets, for nodes that can't read the list themselves; without those whose entry is missing now. */
  get listedTargets (): ListedTarget[] {
    return [...this.listings.values()].filter(({ goneAt }) => goneAt === undefined).map(({ target }) => target)
  }

  /** The listed target at an address; the newest when several lifetimes are listed. */
  findListedAt (address: string): ListedTarget | undefined {
    const ids = this.locationIndex.listedIdsAt(address.slice(0, address.lastIndexOf(':')))
    return ids.map(id => this.listings.get(id)?.target).filter(target => target?.address === address).at(-1)
  }

  /** Milliseconds since the node at `ip` was heard. */
  reportAgeMs (ip: string): number {
    const heard = this.reports.get(ip)
    return heard === undefined ? Infinity : this.clock.now() - heard.at
  }

  recordRequestStart (id: string): void {
    const sent = this.outstanding.get(id) ?? { underWay: 0, unreported: 0 }
    sent.underWay++
    sent.unreported++
    this.outstanding.set(id, sent)
  }

  recordRequestEnd (id: string): void {
    const sent = this.outstanding.get(id)
    if (sent === undefined) return
    sent.underWay--
    sent.unreported = Math.min(sent.unreported, sent.underWay)
    if (sent.underWay === 0) this.outstanding.delete(id)
  }

  dump (): unknown {
    return { listed: [...this.listings.values()], heard: [...this.reports], sent: [...this.outstanding] }
  }

  /** What the node at `ip` said, unless it has fallen silent since. */
  private findRecentReport (ip: string, now: number): ReceivedReport | undefined {
    const heard = this.reports.get(ip)
    return heard !== undefined && now - heard.at <= unresponsiveAfterMs ? heard : undefined
  }

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

  /** Forgets the oldest of those that left, and nodes that were not heard for long. */
  private prune (): void {
    const [oldest] = this.removedIds
    if (oldest !== undefined && this.removedIds.size > maxRemovedIds) this.removedIds.delete(oldest)
    for (const ip of [...this.reports.keys()]) {
      if (this.reportAgeMs(ip) <= reportRetentionMs) continue
      this.reports.delete(ip)
      this.locationIndex.removeReport(ip)
    }
  }

  private isUsableUnlisted ({ report, since }: ReceivedReport, service: string, now: number): boolean {
    if (report.service !== service || !report.fresh || report.id === '') return false
    if (this.listings.has(report.id) || this.removedIds.has(report.id)) return false
    return now - since < unlistedUseMs
  }

  private createListedCandidate ({ target, coldUntil }: Listing, heard: ReceivedReport | undefined, now: number): Candidate {
    const { id, service, ip, failureDomain } = target
    const cold = coldUntil > now
    if (heard !== undefined) return { ...this.createReportedCandidate(ip, heard, now), failureDomain, cold }
    const { underWay } = this.outstanding.get(id) ?? { underWay: 0 }
    const limit = Math.max(1, Math.floor(target.slots * usableSlotShare))
    return { id, service, ip, failureDomain, state: 'up', running: underWay, waiting: 0, limit, slowness: 1.5, cold, failures: 0, reportAgeMs: this.reportAgeMs(ip) }
  }

  private createUnlistedCandidate (ip: string, heard: ReceivedReport, now: number): Candidate {
    return { ...this.createReportedCandidate(ip, heard, now), cold: true }
  }

  private createReportedCandidate (ip: string, { report, at }: ReceivedReport, now: number): Candidate {
    const { id, service, failureDomain, state, running, waiting, limit, slowness, failures } = report
    const { underWay, unreported } = this.outstanding.get(id) ?? { underWay: 0, unreported: 0 }
    return { id, service, ip, failureDomain, state, running: Math.max(running + unreported, underWay), waiting, limit, slowness, failures, cold: false, reportAgeMs: now - at }
  }
}

function isSameLocation (one: ListedTarget, other: ListedTarget): boolean {
  return one.ip === other.ip && one.service === other.service && one.failureDomain === other.failureDomain
}

interface DirectoryOptions {
  readonly clock: Clock
  /** To all unless given. */
  readonly selectAddresses?: AddressSelector
}

/** Addresses beside which this node listens to targets of a service. */
type AddressSelector = (service: string) => Iterable<string>
