import type { Clock } from '../clock/index.js'
import type { Random } from '../random/index.js'
import { messageCoreMs } from './constants.js'
import type { MeasuringCost, MeasuringLimits } from './types.js'

/** Tolerance when a quotient of the limits is rounded down, so that a rounding error does not lose a whole message. */
const quotientTolerance = 1e-9

/**
 * Token bucket for everything that one node sends only for measuring. It accumulates no unused tokens: each message
 * must wait until the interval charged for the previous one has passed. No period of one second exceeds the limits
 * at any load, and no burst follows a pause or a restart.
 */
export class MeasuringBudget {
  private readonly clock: Clock
  private readonly limits: () => MeasuringLimits
  private nextAllowedAt: number
  private messages = 0
  private bytes = 0
  private denied = 0

  private constructor (clock: Clock, random: Random, limits: () => MeasuringLimits) {
    this.clock = clock
    this.limits = limits
    // The random initial delay keeps nodes that restart together from sending at the same times.
    this.nextAllowedAt = clock.now() + Math.min(1_000, this.computeIntervalMs(0)) * random.fraction()
  }

  /** `limits` is called for each message, so that a change of profile takes effect immediately. */
  static create ({ clock, random, limits }: { clock: Clock, random: Random, limits: () => MeasuringLimits }): MeasuringBudget {
    return new MeasuringBudget(clock, random, limits)
  }

  /** Charges a message of `bytes` to the budget; false when it may not be sent now. */
  tryConsume (bytes: number): boolean {
    const now = this.clock.now()
    const intervalMs = this.computeIntervalMs(bytes)
    if (now < this.nextAllowedAt || intervalMs === Infinity) {
      this.denied++
      return false
    }
    this.nextAllowedAt = now + intervalMs
    this.messages++
    this.bytes += bytes
    return true
  }

  /** Milliseconds until a message of `bytes` may be sent; `Infinity` when a limit is 0. */
  computeWaitMs (bytes: number): number {
    if (this.computeIntervalMs(bytes) === Infinity) return Infinity
    return Math.max(0, this.nextAllowedAt - this.clock.now())
  }

  get cost (): MeasuringCost {
    const { messages, bytes, denied } = this
    return { messages, bytes, denied, coreMs: messages * messageCoreMs }
  }

  dump (): unknown {
    return { limits: this.limits(), spent: this.cost }
  }

  /** Milliseconds that must pass after a message of `bytes` before the next one; `Infinity` when a limit is 0. */
  private computeIntervalMs (bytes: number): number {
    const { messagesPerSecond, bytesPerSecond, coreShare } = this.limits()
    if (messagesPerSecond === 0 || bytesPerSecond === 0 || coreShare === 0) return Infinity
    const perSecond = Math.min(messagesPerSecond, bytes === 0 ? Infinity : bytesPerSecond / bytes, 1_000 * coreShare / messageCoreMs)
    // Rounded down to whole messages: a second that begins with a message would otherwise hold one more than the limit.
    return 1_000 / (perSecond < 1 ? perSecond : Math.floor(perSecond + quotientTolerance))
  }
}
