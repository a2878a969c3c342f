import type { Clock } from 'auburnturn/core/clock'
import type { NamedRateLimit } from '../requests/index.js'
import { computeRateWaitMs } from './compute-rate-wait.js'
import { burstMs, sentWindowMs, unlimited } from './constants.js'
import type { RateLimitChange } from './types.js'

/**
 * The rate limit that one target names, as a token bucket. The node beside the target sends all requests of all nodes to it, so
 * its bucket alone holds for all of them. The bucket is empty when a limit begins, since earlier requests, those of a previous
 * process of this node included, were not counted.
 */
export class RateLimit {
  private readonly clock: Clock
  private limitPerSecond = unlimited
  /** When the target began to name a limit, in clock milliseconds. */
  private namedSince = 0
  /** Requests that could be sent at `filledAt`. */
  private tokens = 0
  /** Clock milliseconds of the last refill. */
  private filledAt = 0
  /** Clock milliseconds of the requests sent in the last window, oldest first. */
  private readonly sentAt: number[] = []

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): RateLimit {
    return new RateLimit(clock)
  }

  /** Requests per second that the target takes; `unlimited` without a limit. */
  get perSecond (): number {
    return this.limitPerSecond
  }

  /** Milliseconds for which the target has named a limit; 0 without one. */
  get ageMs (): number {
    return this.limitPerSecond === unlimited ? 0 : this.clock.now() - this.namedSince
  }

  /** Requests that may be sent now; `unlimited` without a limit. */
  get allowance (): number {
    if (this.limitPerSecond === unlimited) return unlimited
    this.refill()
    return this.tokens
  }

  /** Number of requests sent in the last `sentWindowMs`. */
  get sentInWindow (): number {
    this.prune()
    return this.sentAt.length
  }

  /** Applies what the target's newest answer names. Returns the change, if there is one; an unreadable value changes nothing. */
  update (named: NamedRateLimit): RateLimitChange | undefined {
    const from = this.limitPerSecond
    const to = named === 'none' ? unlimited : named
    if (to === 'unreadable' || from === to) return undefined
    const { ageMs } = this
    if (from === unlimited) this.begin()
    else this.refill()
    this.limitPerSecond = to
    return { from, to, ageMs }
  }

  /** Milliseconds until a request can be sent that comes after `ahead` others; Infinity if the target takes none. */
  computeWaitMs (ahead: number): number {
    return computeRateWaitMs({ rateLimit: this.limitPerSecond, rateAllowance: this.allowance - ahead })
  }

  /** Counts a request that is sent to the target. */
  take (): void {
    this.prune()
    this.sentAt.push(this.clock.now())
    if (this.limitPerSecond !== unlimited) this.tokens = this.allowance - 1
  }

  private begin (): void {
    this.namedSince = this.clock.now()
    this.filledAt = this.namedSince
    this.tokens = 0
  }

  private refill (): void {
    const now = this.clock.now()
    const burst = this.limitPerSecond === 0 ? 0 : Math.max(1, this.limitPerSecond * burstMs / 1_000)
    this.tokens = Math.min(burst, this.tokens + (now - this.filledAt) * this.limitPerSecond / 1_000)
    this.filledAt = now
  }

  private prune (): void {
    const oldest = this.clock.now() - sentWindowMs
    while ((this.sentAt[0] ?? Infinity) <= oldest) this.sentAt.shift()
  }
}
