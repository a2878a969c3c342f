import type { Clock } from 'auburnturn/core/clock'
import type { NamedRateLimit } from '../forwarding/types.js'
import { sentWindowMs } from './constants.js'

/** Requests per second while a target names no limit. */
const unlimited = Infinity

/** A change of the limit that a target names; rates are in requests per second, Infinity without a limit. */
export interface RateLimitChange {
  readonly from: number
  readonly to: number
  /** Milliseconds for which the target has named a limit without a break; 0 when it has just begun to. */
  readonly ageMs: number
}

/** The rate limit that one target names, and the requests that were sent to it. Its node sends all of them. */
export class RateLimit {
  private readonly clock: Clock
  private limitPerSecond = unlimited
  /** When the target began to name a limit, in clock milliseconds. */
  private namedSince = 0
  /** Clock milliseconds of the requests sent in the last window, oldest first. */
  private readonly sentAt: number[] = []

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): RateLimit {
    return new RateLimit(clock)
  }

  /** Requests per second that the target takes; Infinity without a limit. */
  get perSecond (): number {
    return this.limitPerSecond
  }

  /** Milliseconds for which the target has named a limit; 0 without one. */
  get ageMs (): number {
    return this.limitPerSecond === unlimited ? 0 : this.clock.now() - this.namedSince
  }

  /** Number of requests sent in the last `sentWindowMs`. */
  get sentInWindow (): number {
    this.prune()
    return this.sentAt.length
  }

  /** Applies what the target's newest answer names. Returns the change, if there is one; an unreadable value changes nothing. */
  update (named: NamedRateLimit): RateLimitChange | undefined {
    if (named === 'unreadable') return undefined
    const from = this.limitPerSecond
    const to = named === 'none' ? unlimited : named
    if (from === to) return undefined
    const { ageMs } = this
    if (from === unlimited) this.namedSince = this.clock.now()
    this.limitPerSecond = to
    return { from, to, ageMs }
  }

  /** Counts a request that is sent to the target. */
  countSent (): void {
    this.prune()
    this.sentAt.push(this.clock.now())
  }

  private prune (): void {
    const oldest = this.clock.now() - sentWindowMs
    while ((this.sentAt[0] ?? Infinity) <= oldest) this.sentAt.shift()
  }
}
