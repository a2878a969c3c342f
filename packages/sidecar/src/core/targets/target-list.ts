import type { Clock } from 'auburnturn/core/clock'
import { listOutageMs, maxRemovedIds, missingEntryGraceMs } from './constants.js'
import type { LocationIndex } from './location-index.js'
import type { ListedTarget } from './types.js'

/** An entry of the platform's list with the state that this node keeps for it. Part of the dump. Times are clock milliseconds. */
export interface Listing {
  target: ListedTarget
  /** End of the slow start of the target. */
  readonly coldUntil: number
  /** Set while the entry is missing from the list but may still return: when it counts as removed. */
  goneAt: number | undefined
}

/** The targets in the platform's list, and the ids that were removed from it. */
export class TargetList {
  private readonly options: TargetListOptions
  private mayListEarlierEntries = false
  private readonly listings = new Map<string, Listing>()
  /** Ids of targets that were removed from the list: a report does not make them usable again. */
  private readonly removedIds = new Set<string>()
  /** Clock milliseconds of the last answer that the platform's list gave, to this node or to a reader. */
  private responseAt = -Infinity
  /** Clock milliseconds of the end of the last outage of the list. */
  private restoredAt = -Infinity

  private constructor (options: TargetListOptions) {
    this.options = options
  }

  static create (options: TargetListOptions): TargetList {
    return new TargetList(options)
  }

  /** The listed targets without currently missing entries. */
  get targets (): ListedTarget[] {
    return [...this.listings.values()].filter(({ goneAt }) => goneAt === undefined).map(({ target }) => target)
  }

  /** Records that the platform's list is available. After an outage, missing entries get time to return. */
  recordResponse (): void {
    const now = this.options.clock.now()
    if (now - this.responseAt > listOutageMs && this.responseAt > -Infinity) this.restoredAt = now
    this.responseAt = now
  }

  /** Records that the next list may hold earlier entries of targets that have left since. */
  expectEarlierEntries (): void {
    this.mayListEarlierEntries = true
  }

  /** Replaces all targets. */
  replace (targets: readonly ListedTarget[]): void {
    const present = new Set(targets.map(({ id }) => id))
    const believed = this.mayListEarlierEntries ? targets.flatMap(target => this.correctEarlierEntry(target)) : targets
    this.mayListEarlierEntries = false
    for (const target of believed) this.put(target)
    for (const id of [...this.listings.keys()]) if (!present.has(id)) this.remove(id)
  }

  /** Adds or updates a target. */
  put (target: ListedTarget): void {
    const { clock, locationIndex } = this.options
    const previous = this.listings.get(target.id)
    const coldUntil = clock.now() + target.coldMs
    if (previous === undefined || !isSameLocation(previous.target, target)) {
      if (previous !== undefined) locationIndex.removeListed(previous.target)
      locationIndex.addListed(target)
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
    const now = this.options.clock.now()
    const mayReturn = now - this.restoredAt < missingEntryGraceMs && listing.target.state === 'ready'
    if (!mayReturn) return this.removeListing(id)
    listing.goneAt ??= this.restoredAt + missingEntryGraceMs
  }

  /** Returns a listed target; removes it if its entry is missing and can no longer return. */
  find (id: string): Listing | undefined {
    const listing = this.listings.get(id)
    if (listing?.goneAt !== undefined && this.options.clock.now() >= listing.goneAt) {
      this.removeListing(id)
      return undefined
    }
    return listing
  }

  /** Returns the target at an `IP:PORT`; the newest if several incarnations are listed. */
  findAt (address: string): ListedTarget | undefined {
    const ids = this.options.locationIndex.getListedIds(address.slice(0, address.lastIndexOf(':')))
    return ids.map(id => this.listings.get(id)?.target).filter(target => target?.address === address).at(-1)
  }

  /** Whether an id is listed, or was. */
  hasListed (id: string): boolean {
    return this.listings.has(id) || this.removedIds.has(id)
  }

  /** Whether the entry of an id has been removed. */
  hasRemoved (id: string): boolean {
    return this.removedIds.has(id)
  }

  dump (): unknown {
    return [...this.listings.values()]
  }

  /** Returns an entry as it has to be used if it may be an earlier one: not that of a target that has left, nor as ready if it drains. */
  private correctEarlierEntry (target: ListedTarget): ListedTarget[] {
    if (this.removedIds.has(target.id)) return []
    const isDraining = this.listings.get(target.id)?.target.state === 'draining'
    return [isDraining ? { ...target, state: 'draining' } : target]
  }

  private removeListing (id: string): void {
    const { locationIndex, onRemove } = this.options
    const listing = this.listings.get(id)
    if (listing !== undefined) locationIndex.removeListed(listing.target)
    this.listings.delete(id)
    this.removedIds.add(id)
    this.discardOldestRemoved()
    onRemove()
  }

  /** Discards the oldest removed id above the maximum. */
  private discardOldestRemoved (): void {
    const [oldest] = this.removedIds
    if (oldest !== undefined && this.removedIds.size > maxRemovedIds) this.removedIds.delete(oldest)
  }
}

function isSameLocation (one: ListedTarget, other: ListedTarget): boolean {
  return one.ip === other.ip && one.service === other.service && one.failureDomain === other.failureDomain
}

interface TargetListOptions {
  readonly clock: Clock
  /** Updated with the locations of the listed targets. */
  readonly locationIndex: LocationIndex
  /** Called after the entry of a target was removed. */
  readonly onRemove: () => void
}
