import { limitDecreaseFactor, minLimitShare, recentWeight, slowdownRatio, usualWeight } from './constants.js'

/**
 * The number of calls that may run at once. It is lowered step by step while service times stay well
 * above the usual with all slots busy, and raised by one a round otherwise (additive increase,
 * multiplicative decrease), between half of the profile's slots and all of them.
 */
export class Limiter {
  private slots: number
  private currentLimit: number
  private answersSinceAdjustment = 0
  /** Smoothed logarithms, so that a few very long calls do not count as a slowdown. */
  private recentLogMs: number | undefined
  private usualLogMs = 0

  private constructor (slots: number) {
    this.slots = slots
    this.currentLimit = slots
  }

  static create (slots: number): Limiter {
    return new Limiter(slots)
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.currentLimit))
  }

  /** Typical service time in milliseconds; 0 while none was seen. */
  get typicalMs (): number {
    return this.recentLogMs === undefined ? 0 : Math.exp(this.recentLogMs)
  }

  /** Takes the slots of the profile in force. */
  setSlots (slots: number): void {
    if (slots === this.slots) return
    this.currentLimit = this.currentLimit === this.slots ? slots : Math.min(this.currentLimit, slots)
    this.slots = slots
  }

  /** Takes in one service time; `full` tells whether all slots were busy. */
  record (latencyMs: number, full: boolean): void {
    const seen = Math.log(Math.max(0.01, latencyMs))
    if (this.recentLogMs === undefined) this.usualLogMs = seen
    this.recentLogMs = this.recentLogMs === undefined ? seen : this.recentLogMs + recentWeight * (seen - this.recentLogMs)
    this.usualLogMs += usualWeight * (seen - this.usualLogMs)
    if (++this.answersSinceAdjustment < this.limit) return
    this.answersSinceAdjustment = 0
    this.adjustLimit(full)
  }

  private adjustLimit (full: boolean): void {
    const slow = full && this.recentLogMs !== undefined && this.recentLogMs - this.usualLogMs > Math.log(slowdownRatio)
    this.currentLimit = slow
      ? Math.max(this.slots * minLimitShare, this.currentLimit * limitDecreaseFactor)
      : Math.min(this.slots, this.currentLimit + 1)
  }
}
