import type { Clock } from '../clock/index.js'
import { assumedCompressionRatio, compressionThresholdBytes, defaultBurstBytes, defaultBytesPerSecond, maxOverdraftMs, rateWindowMs } from './constants.js'

interface ByteBudgetLimits { readonly bytesPerSecond?: number, readonly burstBytes?: number }

/**
 * Token bucket over the bytes that the relay sends and receives. A message may overdraw it; the next one then waits,
 * but at most `maxOverdraftMs`: a large document must not delay later changes for long.
 */
export class ByteBudget {
  private readonly clock: Clock
  private readonly bytesPerSecond: number
  private readonly burstBytes: number
  private tokens: number
  private refilledAt: number
  private windowStart: number
  private windowBytes = 0
  private lastWindowRate = 0
  private total = 0
  private overdrawnBytes = 0

  private constructor (clock: Clock, { bytesPerSecond = defaultBytesPerSecond, burstBytes = defaultBurstBytes }: ByteBudgetLimits) {
    this.clock = clock
    this.bytesPerSecond = bytesPerSecond
    this.burstBytes = burstBytes
    this.tokens = burstBytes
    this.refilledAt = this.windowStart = clock.now()
  }

  static create ({ clock, ...limits }: { clock: Clock } & ByteBudgetLimits): ByteBudget {
    return new ByteBudget(clock, limits)
  }

  /** Whether a message may be sent now. */
  get hasTokens (): boolean {
    this.refill()
    return this.tokens > 0
  }

  /** Counts a message sent or received; `messageBytes` is its size before compression. */
  spend (messageBytes: number): void {
    this.refill()
    const bytes = messageBytes < compressionThresholdBytes ? messageBytes : Math.ceil(messageBytes / assumedCompressionRatio)
    const minTokens = -this.bytesPerSecond * maxOverdraftMs / 1000
    const remaining = this.tokens - bytes
    this.overdrawnBytes += Math.max(0, minTokens - remaining)
    this.tokens = Math.max(minTokens, remaining)
    this.total += bytes
    this.windowBytes += bytes
  }

  /** Resolves when a message may be sent, or `signal` aborts. */
  async waitForTokens (signal: AbortSignal): Promise<void> {
    while (!this.hasTokens && !signal.aborted) await this.clock.sleep(Math.max(1, 1000 * -this.tokens / this.bytesPerSecond), signal)
  }

  /** Mean rate over the last complete window of `rateWindowMs`. */
  get meanBytesPerSecond (): number {
    this.refill()
    return this.lastWindowRate
  }

  /** Bytes counted so far, after the assumed compression. */
  get totalBytes (): number {
    return this.total
  }

  dump (): Record<string, number> {
    return { bytesPerSecond: Math.round(this.meanBytesPerSecond), limitBytesPerSecond: this.bytesPerSecond, totalBytes: this.total, overdrawnBytes: this.overdrawnBytes, tokens: Math.floor(this.tokens) }
  }

  private refill (): void {
    const now = this.clock.now()
    this.tokens = Math.min(this.burstBytes, this.tokens + (now - this.refilledAt) * this.bytesPerSecond / 1000)
    this.refilledAt = now
    const elapsed = now - this.windowStart
    if (elapsed < rateWindowMs) return
    this.lastWindowRate = this.windowBytes * 1000 / elapsed
    this.windowStart = now
    this.windowBytes = 0
  }
}
