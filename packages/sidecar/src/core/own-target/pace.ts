import type { Pace } from '../admission/index.js'
import { slowFactor } from '../targets/index.js'
import { firstSpellMs, spellWeight, usualWindowMs } from './constants.js'

/** Follows how fast the target works: what is usual for it of late, and how long slow times last. */
export class PaceKeeper {
  private slowness = 1
  /** Least slowness of the present window and of the one before. */
  private present = Infinity
  private previous = Infinity
  private windowAt = -Infinity
  private spellMs = firstSpellMs
  private slowSince: number | undefined

  private constructor () {}

  static create (): PaceKeeper {
    return new PaceKeeper()
  }

  /** Takes the present slowness; 1 is what the target calls usual. */
  update (now: number, slowness: number): void {
    this.slowness = Math.max(0.1, slowness)
    this.turnWindow(now)
    this.present = Math.min(this.present, this.slowness)
    const slow = this.slowness >= this.usual * slowFactor
    if (slow) {
      this.slowSince ??= now
    } else if (this.slowSince !== undefined) {
      this.spellMs += spellWeight * (now - this.slowSince - this.spellMs)
      this.slowSince = undefined
    }
  }

  /** The pace now; a slow time that has lasted long is expected to last on. */
  read (now: number): Pace {
    const slowMs = this.slowSince === undefined ? 0 : Math.max(this.spellMs, now - this.slowSince) / 2
    return { slowness: this.slowness, usual: this.usual, slowMs }
  }

  private get usual (): number {
    return Math.min(this.present, this.previous, this.slowness)
  }

  private turnWindow (now: number): void {
    if (now - this.windowAt < usualWindowMs) return
    this.previous = this.present
    this.present = Infinity
    this.windowAt = now
  }
}
