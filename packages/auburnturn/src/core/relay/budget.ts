import type { Clock } from '../clock/index.js'
import { burstBytes, bytesPerSecond, compressedFromBytes, compression, maxDebtMs, rateWindowMs } from './constants.js'

interface Bounds { readonly perSecond?: number, readonly burst?: number }

/**
 * Token bucket over the relay's bytes, both ways. A message may overdraw it; the next one waits,
 * but never long: a large document must not keep later changes out of force.
 */
export class Budget {
  private readonly clock: Clock
  private readonly perSecond: number
  private readonly burst: number
  private tokens: number
  private filledAt: number
  private windowStart: number
  private windowBytes = 0
  private lastRate = 0
  private total = 0
  private overdrawn = 0

  private constructor (clock: Clock, { perSecond = bytesPerSecond, burst = burstBytes }: Bounds) {
    this.clock = clock
    this.perSecond = perSecond
    this.burst = burst
    this.tokens = burst
    this.filledAt = this.windowStart = clock.now()
  }

  static create ({ clock, ...bounds }: { clock: Clock } & Bounds): Budget {
    return new Budget(clock, bounds)
  }

  /** Whether a message may be sent now. */
  get isOpen (): boolean {
    this.fill()
    return this.tokens > 0
  }

  /** Counts a message sent or received, by its bytes before compression. */
  spend (messageBytes: number): void {
    this.fill()
    const bytes = messageBytes < compressedFromBytes ? messageBytes : Math.ceil(messageBytes / compression)
    const lowest = -this.perSecond * maxDebtMs / 1000
    const left = this.tokens - bytes
    this.overdrawn += Math.max(0, lowest - left)
    this.tokens = Math.max(lowest, left)
    this.total += bytes
    this.windowBytes += bytes
  }

  /** Resolves as soon as a message may be sent, or `signal` aborts. */
  async open (signal: AbortSignal): Promise<void> {
    while (!this.isOpen && !signal.aborted) await this.clock.sleep(Math.max(1, 1000 * -this.tokens / this.perSecond), signal)
  }

  /** Mean over the last whole window. */
  get rate (): number {
    this.fill()
    return this.lastRate
  }

  get totalBytes (): number {
    return this.total
  }

  dump (): Record<string, number> {
    return { bytesPerSecond: Math.round(this.rate), limitBytesPerSecond: this.perSecond, totalBytes: this.total, overdrawnBytes: this.overdrawn, tokens: Math.floor(this.tokens) }
  }

  private fill (): void {
    const now = this.clock.now()
    this.tokens = Math.min(this.burst, this.tokens + (now - this.filledAt) * this.perSecond / 1000)
    this.filledAt = now
    const elapsed = now - this.windowStart
    if (elapsed < rateWindowMs) return
    this.lastRate = this.windowBytes * 1000 / elapsed
    this.windowStart = now
    this.windowBytes = 0
  }
}
