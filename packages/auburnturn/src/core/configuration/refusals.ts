import { maxRefusals } from './constants.js'
import type { EntrySource, RejectedEntry } from './types.js'

interface Conflict { readonly key: string, readonly version: number, readonly source: EntrySource }

/** What was not put in force and why, bounded, for the dump. */
export class Refusals {
  private readonly rejected = new Map<string, RejectedEntry>()
  private readonly conflicts = new Map<string, Conflict>()
  private readonly olderCounts: Record<EntrySource, number> = { platform: 0, peer: 0 }

  private constructor () {}

  static create (): Refusals {
    return new Refusals()
  }

  /** Keeps the newest refusal of each key; false when it was known. */
  addRejected (refusal: RejectedEntry): boolean {
    const known = this.rejected.get(refusal.key)
    if (known !== undefined && known.version >= refusal.version) return false
    this.rejected.set(refusal.key, refusal)
    evictIfFull(this.rejected)
    return true
  }

  /** Notes that one version came with two texts; false when it was known. */
  addConflict (key: string, version: number, source: EntrySource): boolean {
    if (this.conflicts.get(key)?.version === version) return false
    this.conflicts.set(key, { key, version, source })
    evictIfFull(this.conflicts)
    return true
  }

  countOlder (source: EntrySource): void {
    this.olderCounts[source]++
  }

  /** Forgets the refusal of a key that has a valid newest version again. */
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

function evictIfFull (map: Map<string, unknown>): void {
  const [first] = map.keys()
  if (map.size > maxRefusals && first !== undefined) map.delete(first)
}
