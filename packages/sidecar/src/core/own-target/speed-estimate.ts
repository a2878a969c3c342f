import type { ServiceSpeed } from '../admission/index.js'
import { slowFactor } from '../targets/index.js'
import { initialSlowPeriodMs, slowPeriodWeight, usualSlownessWindowMs } from './constants.js'

/** Estimates how fast the target works, which speed was usual in the recent past, and how long slow periods last. */
export class SpeedEstimate {
  private slowness = 1
  /** Lowest slowness of the current time window. */
  private currentMin = Infinity
  /** Lowest slowness of the previous time window. */
  private previousMin = Infinity
  private windowStartedAt = -Infinity
  private meanSlowPeriodMs = initialSlowPeriodMs
  private slowSince: number | undefined

  private constructor () {}

  static create (): SpeedEstimate {
    return new SpeedEstimate()
  }

  /** Records the present slowness; 1 is what the target reports as usual. */
  update (now: number, slowness: number): void {
    this.slowness = Math.max(0.1, slowness)
    this.advanceWindow(now)
    this.currentMin = Math.min(this.currentMin, this.slowness)
    const slow = this.slowness >= this.usualSlowness * slowFactor
    if (slow) {
      this.slowSince ??= now
    } else if (this.slowSince !== undefined) {
      this.meanSlowPeriodMs += slowPeriodWeight * (now - this.slowSince - this.meanSlowPeriodMs)
      this.slowSince = undefined
    }
  }

  /**
   * The present speed. A slow period is expected to continue for half of the mean length, or for half of its own length so far if
   * that is longer.
   */
  read (now: number): ServiceSpeed {
    const expectedSlowMs = this.slowSince === undefined ? 0 : Math.max(this.meanSlowPeriodMs, now - this.slowSince) / 2
    return { slowness: this.slowness, usualSlowness: this.usualSlowness, expectedSlowMs }
  }

  private get usualSlowness (): number {
    return Math.min(this.currentMin, this.previousMin, this.slowness)
  }

  private advanceWindow (now: number): void {
    if (now - this.windowStartedAt < usualSlownessWindowMs) return
    this.previousMin = this.currentMin
    this.currentMin = Infinity
    this.windowStartedAt = now
  }
}
