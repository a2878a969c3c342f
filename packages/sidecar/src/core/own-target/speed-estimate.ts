import type { ServiceSpeed } from '../admission/index.js'
import { slowFactor } from '../targets/index.js'
import { initialSlowPeriodMs, slowPeriodWeight, usualSlownessWindowMs } from './constants.js'

/** Follows how fast the target works: what is usual for it of late, and how long slow times last. */
export class SpeedEstimate {
  private slowness = 1
  /** Least slowness of the present window and of the one before. */
  private currentMin = Infinity
  private previousMin = Infinity
  private windowStartedAt = -Infinity
  private meanSlowPeriodMs = initialSlowPeriodMs
  private slowSince: number | undefined

  private constructor () {}

  static create (): SpeedEstimate {
    return new SpeedEstimate()
  }

  /** Takes the present slowness; 1 is what the target calls usual. */
  update (now: number, slowness: number): void {
    this.slowness = Math.max(0.1, slowness)
    this.advanceWindow(now)
    this.currentMin = Math.min(this.currentMin, this.slowness)
    const slow = this.slowness >= this.usual * slowFactor
    if (slow) {
      this.slowSince ??= now
    } else if (this.slowSince !== undefined) {
      this.meanSlowPeriodMs += slowPeriodWeight * (now - this.slowSince - this.meanSlowPeriodMs)
      this.slowSince = undefined
    }
  }

  /** The pace now; a slow time that has lasted long is expected to last on. */
  read (now: number): ServiceSpeed {
    const slowMs = this.slowSince === undefined ? 0 : Math.max(this.meanSlowPeriodMs, now - this.slowSince) / 2
    return { slowness: this.slowness, usualSlowness: this.usual, expectedSlowMs: slowMs }
  }

  private get usual (): number {
    return Math.min(this.currentMin, this.previousMin, this.slowness)
  }

  private advanceWindow (now: number): void {
    if (now - this.windowStartedAt < usualSlownessWindowMs) return
    this.previousMin = this.currentMin
    this.currentMin = Infinity
    this.windowStartedAt = now
  }
}
