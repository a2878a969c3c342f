import type { Clock } from '../clock/index.js'
import { defaultBurstBytes, defaultBytesPerSecond, compressionThresholdBytes, assumedCompressionRatio, maxOverdraftMs, rateWindowMs } from './constants.js'

interface ByteBudgetLimits { readonly bytesPerSecond?: number, readonly burstBytes?: number }

/**
 * Token bucket over the relay's bytes, both ways. A message may overdraw it; the next one waits,
 * but never long: a large document must not keep later changes out of force.
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

  private constructor (clock: Clock, { bytesPerSecond: perSecond = defaultBytesPerSecond, burstBytes: burst = defaultBurstBytes }: ByteBudgetLimits) {
    this.clock = clock
    this.bytesPerSecond = perSecond
    this.burstBytes = burst
    this.tokens = burst
    this.refilledAt = this.windowStart = clock.now()
  }

  static create ({ clock, ...bounds }: { clock: Clock } & ByteBudgetLimits): ByteBudget {
    return new ByteBudget(clock, bounds)
  }

  /** Whether a message may be sent now. */
  get hasTokens (): boolean {
    this.refill()
    return this.tokens > 0
  }

  /** Counts a message sent or received, by its bytes before compression. */
  spend (messageBytes: number): void {
    this.refill()
    const bytes = messageBytes < compressionThresholdBytes ? messageBytes : Math.ceil(messageBytes / assumedCompressionRatio)
    const lowest = -this.bytesPerSecond * maxOverdraftMs / 1000
    const left = this.tokens - bytes
    this.overdrawnBytes += Math.max(0, lowest - left)
    this.tokens = Math.max(lowest, left)
    this.total += bytes
    this.windowBytes += bytes
  }

  /** Resolves as soon as a message may be sent, or `signal` aborts. */
  async waitForTokens (signal: AbortSignal): Promise<void> {
    while (!this.hasTokens && !signal.aborted) await this.clock.sleep(Math.max(1, 1000 * -this.tokens / this.bytesPerSecond), signal)
  }

  /** Mean over the last whole window. */
  get meanBytesPerSecond (): number {
    this.refill()
    return this.lastWindowRate
  }

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
