import { maxTombstones } from './constants.js'

/**
 * Versions of removed entries, up to a limit. An old copy of an entry whose tombstone was evicted is still not accepted
 * from peers, because its version is not above the highest evicted one.
 */
export class Tombstones {
  /** Entries with unknown keys are not accepted from peers at or below this version. */
  highestEvictedVersion = 0
  private readonly versions = new Map<string, number>()
  private readonly limit: number

  private constructor (limit: number) {
    this.limit = limit
  }

  static create (limit = maxTombstones): Tombstones {
    return new Tombstones(limit)
  }

  get size (): number {
    return this.versions.size
  }

  /** Records a removal. Returns the keys that were evicted to stay within the limit; the caller deletes their entries. */
  add (key: string, version: number): string[] {
    this.versions.set(key, version)
    if (this.versions.size <= this.limit) return []
    // Evicts a tenth of the limit at a time, so that most removals need no sort.
    const oldest = [...this.versions].sort(([, one], [, other]) => one - other).slice(0, Math.max(1, this.limit / 10))
    for (const [evictedKey, evictedVersion] of oldest) {
      this.versions.delete(evictedKey)
      this.highestEvictedVersion = Math.max(this.highestEvictedVersion, evictedVersion)
    }
    return oldest.map(([evictedKey]) => evictedKey)
  }

  delete (key: string): void {
    this.versions.delete(key)
  }
}
