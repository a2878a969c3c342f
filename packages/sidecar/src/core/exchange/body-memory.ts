/** Bytes of one body that is not whole yet. */
export interface Holding {
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
  private readonly holdings = new Set<Holding>()
  private heldBytes = 0

  private constructor (maxBytes: number) {
    this.maxBytes = maxBytes
  }

  static create ({ maxBytes }: { maxBytes: number }): BodyMemory {
    return new BodyMemory(maxBytes)
  }

  /** Bytes held now. */
  get bytes (): number {
    return this.heldBytes
  }

  /** Takes more bytes of a body; breaks off that one, or others, where that is too much. */
  add (holding: Holding, bytes: number): void {
    this.holdings.add(holding)
    holding.bytes += bytes
    this.heldBytes += bytes
    while (this.heldBytes > this.maxBytes) this.evict(this.findLongest())
  }

  /** The body is whole, or over. */
  release (holding: Holding): void {
    if (!this.holdings.delete(holding)) return
    this.heldBytes -= holding.bytes
  }

  private evict (holding: Holding): void {
    this.release(holding)
    holding.evict()
  }

  private findLongest (): Holding {
    return [...this.holdings].reduce((longest, other) => other.bytes > longest.bytes ? other : longest)
  }
}
