/** A message body that is being received, or the bodies of a request that waits or runs. */
export interface HeldBody {
  /** Memory that it takes so far, in bytes. */
  bytes: number
  /** Aborts the transfer and discards the bytes; undefined for what is needed until its request has ended. */
  readonly evict: (() => void) | undefined
}

/** Share of the memory that the bodies of new requests may fill: the rest is for the answers to those that run. */
const requestShare = 2 / 3

/**
 * Limits the memory of all bodies. A faulty server may send bytes without end, and large requests may wait for a slow one: together
 * they would exhaust the memory of the process. The largest body that is being received is evicted first, so that the other transfers
 * and the requests that wait or run continue.
 */
export class BodyMemory {
  private readonly maxBytes: number
  private readonly bodies = new Set<HeldBody>()
  private totalBytes = 0

  private constructor (maxBytes: number) {
    this.maxBytes = maxBytes
  }

  static create ({ maxBytes }: { maxBytes: number }): BodyMemory {
    return new BodyMemory(maxBytes)
  }

  /** Memory that all bodies take, in bytes. */
  get heldBytes (): number {
    return this.totalBytes
  }

  /** Whether there is room for a new request with a body of this size, in bytes. */
  fitsRequest (bytes: number): boolean {
    return this.totalBytes + bytes <= this.maxBytes * requestShare
  }

  /** Records what a body takes now. While the total exceeds the limit, evicts the largest evictable body, which may be this one. */
  update (body: HeldBody, bytes: number): void {
    this.bodies.add(body)
    this.totalBytes += bytes - body.bytes
    body.bytes = bytes
    while (this.totalBytes > this.maxBytes && this.evictLargest());
  }

  /** Stops counting a body that is complete or aborted. Repeated calls have no effect. */
  release (body: HeldBody): void {
    if (!this.bodies.delete(body)) return
    this.totalBytes -= body.bytes
    body.bytes = 0
  }

  /** Evicts the largest evictable body; returns false if there is none. */
  private evictLargest (): boolean {
    let largest: HeldBody | undefined
    for (const body of this.bodies) if (body.evict !== undefined && body.bytes > (largest?.bytes ?? 0)) largest = body
    if (largest === undefined) return false
    this.release(largest)
    largest.evict?.()
    return true
  }
}
