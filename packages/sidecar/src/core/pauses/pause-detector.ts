import type { Cancel, Clock } from 'auburnturn/core/clock'

/** How often the clocks are compared, in milliseconds. */
const checkIntervalMs = 250

/** A longer gap than this, in milliseconds, is a pause. */
const minPauseMs = 700

/** Calls back after each pause of the process. */
export class PauseDetector {
  private readonly cancel: Cancel

  private constructor (cancel: Cancel) {
    this.cancel = cancel
  }

  /**
   * @param wallClock time of day in milliseconds; a jump of it looks like a pause, and costs no more than one
   * @param onPause receives the milliseconds by which the process was late
   */
  static create ({ clock, wallClock, onPause }: { clock: Clock, wallClock: () => number, onPause: (milliseconds: number) => void }): PauseDetector {
    let steady = clock.now()
    let wall = wallClock()
    const cancel = clock.every(checkIntervalMs, () => {
      const elapsed = Math.max(clock.now() - steady, wallClock() - wall)
      steady = clock.now()
      wall = wallClock()
      if (elapsed > minPauseMs) onPause(elapsed)
    })
    return new PauseDetector(cancel)
  }

  async close (): Promise<void> {
    this.cancel()
  }
}
