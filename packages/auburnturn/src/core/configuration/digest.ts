import { digestBucketCount } from './constants.js'
import { hashText } from './hash.js'
import type { Entry } from './types.js'

interface EntryFingerprint { readonly bucket: number, readonly hash: bigint }

/**
 * Bucketed hash of the (key, version, text) triples of all entries. Two nodes compare their digests before they
 * exchange any entry.
 */
export class Digest {
  private readonly fingerprints = new Map<string, EntryFingerprint>()
  private readonly hashes = new BigUint64Array(digestBucketCount)

  private constructor () {}

  static create (): Digest {
    return new Digest()
  }

  /** Adds the entry, replacing the previous one with the same key. */
  set (entry: Entry): void {
    const { key, version, text, good } = entry
    this.delete(key)
    const bucket = computeBucket(key)
    const hash = hashText(`${key}\n${version}\n${good?.version ?? ''}\n${good?.text ?? ''}\n${text === undefined ? '-' : `+${text}`}`)
    this.fingerprints.set(key, { bucket, hash })
    this.toggle(bucket, hash)
  }

  delete (key: string): void {
    const previous = this.fingerprints.get(key)
    if (previous === undefined) return
    this.fingerprints.delete(key)
    this.toggle(previous.bucket, previous.hash)
  }

  /** The hash of each bucket, by bucket number. */
  get buckets (): readonly bigint[] {
    return [...this.hashes]
  }

  /** One hash over all buckets. */
  get total (): bigint {
    return this.hashes.reduce((sum, hash, index) => BigInt.asUintN(64, sum + hash * BigInt(2 * index + 1)), 0n)
  }

  get size (): number {
    return this.fingerprints.size
  }

  /** Yields the keys whose bucket is among `buckets`. */
  * keysIn (buckets: ReadonlySet<number>): Generator<string> {
    for (const [key, { bucket }] of this.fingerprints) if (buckets.has(bucket)) yield key
  }

  /** Adds a hash to its bucket or removes it: XOR is its own inverse. */
  private toggle (bucket: number, hash: bigint): void {
    this.hashes[bucket] = (this.hashes[bucket] as bigint) ^ hash
  }
}

/** Returns the bucket of a key, which is the same on every node. */
export function computeBucket (key: string): number {
  return Number(hashText(key) % BigInt(digestBucketCount))
}
