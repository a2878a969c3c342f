import type { Cancel, Clock } from 'auburnturn/core/clock'

/** How often the clocks are compared, in milliseconds. */
const checkMs = 250

/** A longer gap than this, in milliseconds, is a pause. */
const pauseMs = 700

/** Calls back after each pause of the process. */
export class PauseWatch {
  private readonly cancel: Cancel

  private constructor (cancel: Cancel) {
    this.cancel = cancel
  }

  /**
   * @param wallClock time of day in milliseconds; a jump of it looks like a pause, and costs no more than one
   * @param onPause receives the milliseconds by which the process was late
   */
  static create ({ clock, wallClock, onPause }: { clock: Clock, wallClock: () => number, onPause: (milliseconds: number) => void }): PauseWatch {
    let steady = clock.now()
    let wall = wallClock()
    const cancel = clock.every(checkMs, () => {
      const elapsed = Math.max(clock.now() - steady, wallClock() - wall)
      steady = clock.now()
      wall = wallClock()
      if (elapsed > pauseMs) onPause(elapsed)
    })
    return new PauseWatch(cancel)
  }

  async close (): Promise<void> {
    this.cancel()
  }
}
