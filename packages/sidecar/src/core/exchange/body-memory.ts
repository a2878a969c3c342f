/** A message body that is being received. */
export interface BufferedBody {
  /** Bytes received so far. */
  bytes: number
  /** Aborts the transfer and discards the bytes. */
  readonly evict: () => void
}

/**
 * Limits the memory of all bodies that are being received. A faulty server may send bytes without end, and several
 * such servers at the same time would exhaust the memory of the process. The largest body is evicted first, so that
 * the other transfers continue.
 */
export class BodyMemory {
  private readonly maxBytes: number
  private readonly bodies = new Set<BufferedBody>()
  private totalBytes = 0

  private constructor (maxBytes: number) {
    this.maxBytes = maxBytes
  }

  static create ({ maxBytes }: { maxBytes: number }): BodyMemory {
    return new BodyMemory(maxBytes)
  }

  /** Total size of all bodies that are being received, in bytes. */
  get bufferedBytes (): number {
    return this.totalBytes
  }

  /** Adds received bytes to a body. While the total exceeds the limit, evicts the largest body, which may be this one. */
  add (body: BufferedBody, bytes: number): void {
    this.bodies.add(body)
    body.bytes += bytes
    this.totalBytes += bytes
    while (this.totalBytes > this.maxBytes) this.evict(this.findLargest())
  }

  /** Stops counting a body that is complete or aborted. Repeated calls have no effect. */
  release (body: BufferedBody): void {
    if (!this.bodies.delete(body)) return
    this.totalBytes -= body.bytes
  }

  private evict (body: BufferedBody): void {
    this.release(body)
    body.evict()
  }

  private findLargest (): BufferedBody {
    return [...this.bodies].reduce((largest, other) => other.bytes > largest.bytes ? other : largest)
  }
}
