import type { Clock } from '../clock/index.js'
import type { Random } from '../random/index.js'
import { messageCoreMs } from './constants.js'
import type { MeasuringCost, MeasuringLimits } from './types.js'

/** What a quotient of the limits may fall short of a whole number of messages. */
const quotientTolerance = 1e-9

/**
 * The token bucket over all that one node sends only to measure. It saves nothing up: each message
 * must wait until the one before it is paid for, so that no second holds more than the limits,
 * whatever the load, and a pause or a restart earns no burst.
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
    // Nodes that restart together would otherwise send in step.
    this.nextAllowedAt = clock.now() + Math.min(1_000, this.computeIntervalMs(0)) * random.fraction()
  }

  /** `limits` is read at each message, so that a change of profile holds at once. */
  static create ({ clock, random, limits }: { clock: Clock, random: Random, limits: () => MeasuringLimits }): MeasuringBudget {
    return new MeasuringBudget(clock, random, limits)
  }

  /** Whether a message of `bytes` may be sent now; pays for it. */
  tryConsume (bytes: number): boolean {
    const now = this.clock.now()
    const price = this.computeIntervalMs(bytes)
    if (now < this.nextAllowedAt || price === Infinity) {
      this.denied++
      return false
    }
    this.nextAllowedAt = now + price
    this.messages++
    this.bytes += bytes
    return true
  }

  /** Milliseconds until the next message of `bytes` may be sent; `Infinity` without a budget. */
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

  /** Milliseconds of budget that one message takes. */
  private computeIntervalMs (bytes: number): number {
    const { messagesPerSecond, bytesPerSecond, coreShare } = this.limits()
    if (messagesPerSecond === 0 || bytesPerSecond === 0 || coreShare === 0) return Infinity
    const perSecond = Math.min(messagesPerSecond, bytes === 0 ? Infinity : bytesPerSecond / bytes, 1_000 * coreShare / messageCoreMs)
    // Whole messages, as a second that begins with one holds one more than the quotient.
    return 1_000 / (perSecond < 1 ? perSecond : Math.floor(perSecond + quotientTolerance))
  }
}
