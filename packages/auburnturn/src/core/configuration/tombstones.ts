import { maxTombstones } from './constants.js'

/** Versions of removed entries, bounded; what was forgotten is kept out by the highest version forgotten. */
export class Tombstones {
  /** Unknown keys at or below this version are not taken from peers. */
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

  /** Remembers a removal; returns the keys that must be forgotten to keep within the limit. */
  add (key: string, version: number): string[] {
    this.versions.set(key, version)
    if (this.versions.size <= this.limit) return []
    // A tenth at once, so that the sort is paid once for many removals.
    const oldest = [...this.versions].sort(([, one], [, other]) => one - other).slice(0, Math.max(1, this.limit / 10))
    for (const [old, oldVersion] of oldest) {
      this.versions.delete(old)
      this.highestEvictedVersion = Math.max(this.highestEvictedVersion, oldVersion)
    }
    return oldest.map(([old]) => old)
  }

  delete (key: string): void {
    this.versions.delete(key)
  }
}
