import { decrease, leastLimitShare, recentWeight, slowdown, usualWeight } from './constants.js'

/**
 * The number of calls that may run at once. It is lowered step by step while service times stay well
 * above the usual with all slots busy, and raised by one a round otherwise (additive increase,
 * multiplicative decrease), between half of the profile's slots and all of them.
 */
export class Limiter {
  private slots: number
  private current: number
  private answers = 0
  /** Smoothed logarithms, so that a few very long calls do not count as a slowdown. */
  private recent: number | undefined
  private usual = 0

  private constructor (slots: number) {
    this.slots = slots
    this.current = slots
  }

  static create (slots: number): Limiter {
    return new Limiter(slots)
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.current))
  }

  /** Typical service time in milliseconds; 0 while none was seen. */
  get typicalMs (): number {
    return this.recent === undefined ? 0 : Math.exp(this.recent)
  }

  /** Takes the slots of the profile in force. */
  resize (slots: number): void {
    if (slots === this.slots) return
    this.current = this.current === this.slots ? slots : Math.min(this.current, slots)
    this.slots = slots
  }

  /** Takes in one service time; `full` tells whether all slots were busy. */
  record (latencyMs: number, full: boolean): void {
    const seen = Math.log(Math.max(0.01, latencyMs))
    if (this.recent === undefined) this.usual = seen
    this.recent = this.recent === undefined ? seen : this.recent + recentWeight * (seen - this.recent)
    this.usual += usualWeight * (seen - this.usual)
    if (++this.answers < this.limit) return
    this.answers = 0
    this.adapt(full)
  }

  private adapt (full: boolean): void {
    const slow = full && this.recent !== undefined && this.recent - this.usual > Math.log(slowdown)
    this.current = slow
      ? Math.max(this.slots * leastLimitShare, this.current * decrease)
      : Math.min(this.slots, this.current + 1)
  }
}
