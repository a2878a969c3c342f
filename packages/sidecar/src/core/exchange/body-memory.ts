/** Bytes of one body that is not whole yet. */
export interface BufferedBody {
  bytes: number
  /** Breaks the body off. */
  readonly evict: () => void
}

/**
 * Bounds the bytes of all bodies that are on their way: a server in trouble may send without end, and several of
 * them at once would take all memory of the process. The longest body is broken off first, so that others go on.
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

  /** Bytes held now. */
  get bufferedBytes (): number {
    return this.totalBytes
  }

  /** Takes more bytes of a body; breaks off that one, or others, where that is too much. */
  add (holding: BufferedBody, bytes: number): void {
    this.bodies.add(holding)
    holding.bytes += bytes
    this.totalBytes += bytes
    while (this.totalBytes > this.maxBytes) this.evict(this.findLargest())
  }

  /** The body is whole, or over. */
  release (holding: BufferedBody): void {
    if (!this.bodies.delete(holding)) return
    this.totalBytes -= holding.bytes
  }

  private evict (holding: BufferedBody): void {
    this.release(holding)
    holding.evict()
  }

  private findLargest (): BufferedBody {
    return [...this.bodies].reduce((longest, other) => other.bytes > longest.bytes ? other : longest)
  }
}
