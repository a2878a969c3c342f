import type { Clock } from 'auburnturn/core/clock'
import { forgetAfterMs, maxLeft, outageMs, returnGraceMs, silentAfterMs, slowFactor, unlistedMs, usableShare } from './constants.js'
import { PlaceIndex } from './place-index.js'
import type { Candidate, ListedTarget, Places, TargetReport } from './types.js'

/** A listed target with what was learned since. */
interface Listing {
  target: ListedTarget
  readonly coldUntil: number
  /** Set while the entry is missing, but may come back: when it counts as gone. */
  goneAt: number | undefined
}

/** The latest word of the node on one VM. */
interface Heard {
  readonly report: TargetReport
  readonly at: number
  /** When the target that it speaks of was first heard of. */
  readonly since: number
}

/** Requests that this node has under way at a target, and those that its node can't have counted yet. */
interface Sent {
  underWay: number
  unreported: number
}

/** All targets known to this node: the platform's list, corrected by the nodes beside them. */
export class Directory {
  private readonly clock: Clock
  private readonly selectedOf: SelectedOf | undefined
  private readonly places = PlaceIndex.create()
  private readonly listings = new Map<string, Listing>()
  private readonly heard = new Map<string, Heard>()
  private readonly sent = new Map<string, Sent>()
  /** Ids that were seen to leave: no word of a node brings them back. */
  private readonly left = new Set<string>()
  private answeredAt = -Infinity
  private returnedAt = -Infinity

  private constructor ({ clock, selectedOf }: DirectoryOptions) {
    this.clock = clock
    this.selectedOf = selectedOf
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Notes that the list has answered; after an outage, missing entries get time to come back. */
  markAnswered (): void {
    const now = this.clock.now()
    if (now - this.answeredAt > outageMs && this.answeredAt > -Infinity) this.returnedAt = now
    this.answeredAt = now
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
    if (known === undefined || !isSamePlace(known.target, target)) {
      if (known !== undefined) this.places.removeListed(known.target)
      this.places.addListed(target)
    }
    this.listings.set(target.id, { target, coldUntil, goneAt: undefined })
    if (known === undefined) this.left.delete(target.id)
  }

  /** An entry is missing: its target is gone, or comes back within moments after an outage of the list. */
  remove (id: string): void {
    const listing = this.listings.get(id)
    if (listing === undefined) return
    const now = this.clock.now()
    const doubtful = now - this.returnedAt < returnGraceMs && listing.target.state === 'ready'
    if (!doubtful) return this.forget(id)
    listing.goneAt ??= this.returnedAt + returnGraceMs
  }

  /** Takes the word of the node at `ip` of its own target. */
  hear (ip: string, report: TargetReport): void {
    const before = this.heard.get(ip)
    const same = before !== undefined && before.report.id === report.id
    if (!same) this.places.hear(ip, report)
    this.heard.set(ip, { report, at: this.clock.now(), since: same ? before.since : this.clock.now() })
    const sent = this.sent.get(report.id)
    if (sent !== undefined) sent.unreported = 0
  }

  /** Whether a target of the service was known at an address. */
  knows (ip: string, service: string): boolean {
    return this.places.has(ip, service)
  }

  /** Takes newer figures of the target that the node at `ip` spoke of last; `isSame` tells by its id. */
  hearFigures (ip: string, figures: Partial<TargetReport>, isSame: (id: string) => boolean): void {
    const before = this.heard.get(ip)
    if (before !== undefined && isSame(before.report.id)) this.hear(ip, { ...before.report, ...figures })
  }

  /** A target has said that it works slowly, before its next report does. */
  noteSlow (id: string): void {
    for (const [ip, heard] of this.heard) {
      if (heard.report.id !== id || heard.report.slowness >= slowFactor) continue
      this.heard.set(ip, { ...heard, report: { ...heard.report, slowness: slowFactor } })
    }
  }

  /** Whether the list shows a lifetime of a target as ready. */
  isListed (id: string): boolean {
    const listing = this.findListing(id)
    return listing !== undefined && listing.target.state === 'ready'
  }

  /** Whether a target was seen to leave: it drains, or its entry is gone. */
  isLeaving (id: string): boolean {
    return this.left.has(id) || this.findListing(id)?.target.state === 'draining'
  }

  /** Targets of a service that may be chosen now: beside the selected nodes, or beside any. */
  candidates (service: string, beside: 'selected' | 'any' = 'selected'): Candidate[] {
    const found: Candidate[] = []
    const now = this.clock.now()
    const selected = beside === 'selected' ? this.selectedOf?.(service) : undefined
    for (const ip of selected ?? this.places.of(service)) {
      const heard = this.recall(ip, now)
      for (const id of this.places.listedAt(ip)) {
        const listing = this.findListing(id)
        if (listing === undefined || listing.target.service !== service || listing.target.state !== 'ready') continue
        // The node beside it knows another one in its place, or none yet: this entry is about to lapse.
        if (heard === undefined || heard.report.id === id) found.push(this.describe(listing, heard, now))
      }
      const word = this.heard.get(ip)
      if (word !== undefined && this.isUsableUnlisted(word, service, now)) found.push(this.describeUnlisted(ip, word, now))
    }
    return found
  }

  /** Where targets are, by the list and by the nodes beside them. */
  get index (): Places {
    return this.places
  }

  /** The listed targets, for nodes that can't read the list themselves; without those whose entry is missing now. */
  get listed (): ListedTarget[] {
    return [...this.listings.values()].filter(({ goneAt }) => goneAt === undefined).map(({ target }) => target)
  }

  /** The listed target at an address; the newest when several lifetimes are listed. */
  findAt (address: string): ListedTarget | undefined {
    const ids = this.places.listedAt(address.slice(0, address.lastIndexOf(':')))
    return ids.map(id => this.listings.get(id)?.target).filter(target => target?.address === address).at(-1)
  }

  /** Milliseconds since the node at `ip` was heard. */
  silentMs (ip: string): number {
    const heard = this.heard.get(ip)
    return heard === undefined ? Infinity : this.clock.now() - heard.at
  }

  started (id: string): void {
    const sent = this.sent.get(id) ?? { underWay: 0, unreported: 0 }
    sent.underWay++
    sent.unreported++
    this.sent.set(id, sent)
  }

  finished (id: string): void {
    const sent = this.sent.get(id)
    if (sent === undefined) return
    sent.underWay--
    sent.unreported = Math.min(sent.unreported, sent.underWay)
    if (sent.underWay === 0) this.sent.delete(id)
  }

  dump (): unknown {
    return { listed: [...this.listings.values()], heard: [...this.heard], sent: [...this.sent] }
  }

  /** What the node at `ip` said, unless it has fallen silent since. */
  private recall (ip: string, now: number): Heard | undefined {
    const heard = this.heard.get(ip)
    return heard !== undefined && now - heard.at <= silentAfterMs ? heard : undefined
  }

  private findListing (id: string): Listing | undefined {
    const listing = this.listings.get(id)
    if (listing?.goneAt !== undefined && this.clock.now() >= listing.goneAt) {
      this.forget(id)
      return undefined
    }
    return listing
  }

  private forget (id: string): void {
    const listing = this.listings.get(id)
    if (listing !== undefined) this.places.removeListed(listing.target)
    this.listings.delete(id)
    this.left.add(id)
    this.prune()
  }

  /** Forgets the oldest of those that left, and nodes that were not heard for long. */
  private prune (): void {
    const [oldest] = this.left
    if (oldest !== undefined && this.left.size > maxLeft) this.left.delete(oldest)
    for (const ip of [...this.heard.keys()]) {
      if (this.silentMs(ip) <= forgetAfterMs) continue
      this.heard.delete(ip)
      this.places.forget(ip)
    }
  }

  private isUsableUnlisted ({ report, since }: Heard, service: string, now: number): boolean {
    if (report.service !== service || !report.fresh || report.id === '') return false
    if (this.listings.has(report.id) || this.left.has(report.id)) return false
    return now - since < unlistedMs
  }

  private describe ({ target, coldUntil }: Listing, heard: Heard | undefined, now: number): Candidate {
    const { id, service, ip, failureDomain } = target
    const cold = coldUntil > now
    if (heard !== undefined) return { ...this.describeHeard(ip, heard, now), failureDomain, cold }
    const { underWay } = this.sent.get(id) ?? { underWay: 0 }
    const limit = Math.max(1, Math.floor(target.slots * usableShare))
    return { id, service, ip, failureDomain, state: 'up', running: underWay, waiting: 0, limit, slowness: 1.5, cold, failures: 0, silentMs: this.silentMs(ip) }
  }

  private describeUnlisted (ip: string, heard: Heard, now: number): Candidate {
    return { ...this.describeHeard(ip, heard, now), cold: true }
  }

  private describeHeard (ip: string, { report, at }: Heard, now: number): Candidate {
    const { id, service, failureDomain, state, running, waiting, limit, slowness, failures } = report
    const { underWay, unreported } = this.sent.get(id) ?? { underWay: 0, unreported: 0 }
    return { id, service, ip, failureDomain, state, running: Math.max(running + unreported, underWay), waiting, limit, slowness, failures, cold: false, silentMs: now - at }
  }
}

function isSamePlace (one: ListedTarget, other: ListedTarget): boolean {
  return one.ip === other.ip && one.service === other.service && one.failureDomain === other.failureDomain
}

interface DirectoryOptions {
  readonly clock: Clock
  /** To all unless given. */
  readonly selectedOf?: SelectedOf
}

/** Addresses beside which this node listens to targets of a service. */
type SelectedOf = (service: string) => Iterable<string>
