import { digestBucketCount } from './constants.js'
import { hashText } from './hash.js'
import type { Entry } from './types.js'

interface EntryFingerprint { readonly bucket: number, readonly hash: bigint }

/** A summary of (key, version, text) triples that two nodes compare before they exchange any entry. */
export class Digest {
  private readonly fingerprints = new Map<string, EntryFingerprint>()
  private readonly hashes = new BigUint64Array(digestBucketCount)

  private constructor () {}

  static create (): Digest {
    return new Digest()
  }

  /** Replaces what is known of the entry's key. */
  set (entry: Entry): void {
    const { key, version, text, good } = entry
    this.delete(key)
    const bucket = computeBucket(key)
    const hash = hashText(`${key}\n${version}\n${good?.version ?? ''}\n${good?.text ?? ''}\n${text === undefined ? '-' : `+${text}`}`)
    this.fingerprints.set(key, { bucket, hash })
    this.toggle(bucket, hash)
  }

  delete (key: string): void {
    const known = this.fingerprints.get(key)
    if (known === undefined) return
    this.fingerprints.delete(key)
    this.toggle(known.bucket, known.hash)
  }

  /** The hash of each bucket. */
  get buckets (): readonly bigint[] {
    return [...this.hashes]
  }

  /** One hash of everything. */
  get total (): bigint {
    return this.hashes.reduce((sum, hash, index) => BigInt.asUintN(64, sum + hash * BigInt(2 * index + 1)), 0n)
  }

  get size (): number {
    return this.fingerprints.size
  }

  /** The keys whose bucket is among `buckets`. */
  * keysIn (buckets: ReadonlySet<number>): Generator<string> {
    for (const [key, { bucket }] of this.fingerprints) if (buckets.has(bucket)) yield key
  }

  private toggle (bucket: number, hash: bigint): void {
    this.hashes[bucket] = (this.hashes[bucket] as bigint) ^ hash
  }
}

/** The bucket of a key; the same on every node. */
export function computeBucket (key: string): number {
  return Number(hashText(key) % BigInt(digestBucketCount))
}
