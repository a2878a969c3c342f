import { maxDeclinedEntries } from './constants.js'
import type { EntrySource, RejectedEntry } from './types.js'

interface Conflict { readonly key: string, readonly version: number, readonly source: EntrySource }

/**
 * Offered entries that did not become active, for the dump: the rejected ones with the reasons, the conflicts, and the
 * number of older ones. Stores at most `maxDeclinedEntries` rejected entries and as many conflicts.
 */
export class DeclinedEntries {
  private readonly rejected = new Map<string, RejectedEntry>()
  private readonly conflicts = new Map<string, Conflict>()
  private readonly olderCounts: Record<EntrySource, number> = { platform: 0, peer: 0 }

  private constructor () {}

  static create (): DeclinedEntries {
    return new DeclinedEntries()
  }

  /** Records the newest rejected entry of each key. Returns false if this version or a newer one was already recorded. */
  addRejected (entry: RejectedEntry): boolean {
    const previous = this.rejected.get(entry.key)
    if (previous !== undefined && previous.version >= entry.version) return false
    this.rejected.set(entry.key, entry)
    evictIfFull(this.rejected)
    return true
  }

  /** Records that one version was received with two texts. Returns false if that was already recorded. */
  addConflict (key: string, version: number, source: EntrySource): boolean {
    if (this.conflicts.get(key)?.version === version) return false
    this.conflicts.set(key, { key, version, source })
    evictIfFull(this.conflicts)
    return true
  }

  /** Counts an offered entry that was older than the stored one. */
  countOlder (source: EntrySource): void {
    this.olderCounts[source]++
  }

  /** Removes the rejected entry of a key whose newest version is valid again. */
  clearRejected (key: string): void {
    this.rejected.delete(key)
  }

  get rejectedCount (): number { return this.rejected.size }
  get conflictCount (): number { return this.conflicts.size }
  get olderCount (): number { return this.olderCounts.platform + this.olderCounts.peer }

  dump (): Record<string, unknown> {
    return { rejected: [...this.rejected.values()], conflicts: [...this.conflicts.values()], olderOffered: { ...this.olderCounts } }
  }
}

/** Removes the earliest recorded element of a map that exceeds `maxDeclinedEntries`. */
function evictIfFull (map: Map<string, unknown>): void {
  const [first] = map.keys()
  if (map.size > maxDeclinedEntries && first !== undefined) map.delete(first)
}
