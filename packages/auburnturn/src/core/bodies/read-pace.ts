import type { Clock } from '../clock/index.js'
import { pacedPiecesPerSecond } from './constants.js'

/**
 * Limits the rate at which all bodies of a process are read that come in very small pieces. Each piece takes processor time,
 * whatever its size, and a sender that sends them without end would take all of it from other requests.
 */
export class ReadPace {
  readonly clock: Clock
  /** Until when the pieces counted so far take up the whole rate, in clock milliseconds. */
  private busyUntil = -Infinity

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): ReadPace {
    return new ReadPace(clock)
  }

  /** Counts pieces of a body beyond its free ones; returns how long its source has to pause, in milliseconds. */
  takePieces (pieces: number): number {
    const now = this.clock.now()
    this.busyUntil = Math.max(now, this.busyUntil) + pieces / pacedPiecesPerSecond * 1_000
    return this.busyUntil - now
  }
}
