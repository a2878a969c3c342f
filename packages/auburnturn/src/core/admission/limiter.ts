import { limitDecreaseFactor, minLimitShare, recentWeight, slowdownRatio, usualWeight } from './constants.js'

/**
 * Adapts the number of calls that may run concurrently, by additive increase and multiplicative decrease (AIMD).
 * The limit is adjusted once per round, that is after as many answers as the limit. It is lowered while all slots are in
 * use and recent service times are well above the usual, and otherwise raised by one. It stays between half of the
 * profile's slots and all of them.
 */
export class Limiter {
  private slots: number
  private currentLimit: number
  private answersSinceAdjustment = 0
  /** Averages of the logarithms of service times, so that a few very long calls do not count as a slowdown. */
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

  /** Typical recent service time in milliseconds; 0 before the first answer. */
  get typicalMs (): number {
    return this.recentLogMs === undefined ? 0 : Math.exp(this.recentLogMs)
  }

  /** Sets the slots of the active profile. A lowered limit is not raised by this. */
  setSlots (slots: number): void {
    if (slots === this.slots) return
    this.currentLimit = this.currentLimit === this.slots ? slots : Math.min(this.currentLimit, slots)
    this.slots = slots
  }

  /** Records one service time; `allSlotsBusy` is whether all slots were in use. */
  record (latencyMs: number, allSlotsBusy: boolean): void {
    const logMs = Math.log(Math.max(0.01, latencyMs))
    if (this.recentLogMs === undefined) this.usualLogMs = logMs
    this.recentLogMs = this.recentLogMs === undefined ? logMs : this.recentLogMs + recentWeight * (logMs - this.recentLogMs)
    this.usualLogMs += usualWeight * (logMs - this.usualLogMs)
    if (++this.answersSinceAdjustment < this.limit) return
    this.answersSinceAdjustment = 0
    this.adjustLimit(allSlotsBusy)
  }

  private adjustLimit (allSlotsBusy: boolean): void {
    const slow = allSlotsBusy && this.recentLogMs !== undefined && this.recentLogMs - this.usualLogMs > Math.log(slowdownRatio)
    this.currentLimit = slow
      ? Math.max(this.slots * minLimitShare, this.currentLimit * limitDecreaseFactor)
      : Math.min(this.slots, this.currentLimit + 1)
  }
}
