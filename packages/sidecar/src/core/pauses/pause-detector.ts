import type { Cancel, Clock } from 'auburnturn/core/clock'

/** Time between two comparisons of the clocks, in milliseconds. */
const checkIntervalMs = 250

/** A gap between two comparisons that is longer than this counts as a pause, in milliseconds. */
const minPauseMs = 700

/** Calls back after each pause of the process. */
export class PauseDetector {
  private readonly cancel: Cancel

  private constructor (cancel: Cancel) {
    this.cancel = cancel
  }

  /**
   * @param wallClock time of day in milliseconds; if it is set forward, that has the same effect as a pause
   * @param onPause called with the milliseconds since the previous comparison
   */
  static create ({ clock, wallClock, onPause }: { clock: Clock, wallClock: () => number, onPause: (milliseconds: number) => void }): PauseDetector {
    let lastMonotonicMs = clock.now()
    let lastWallMs = wallClock()
    const cancel = clock.every(checkIntervalMs, () => {
      const elapsedMs = Math.max(clock.now() - lastMonotonicMs, wallClock() - lastWallMs)
      lastMonotonicMs = clock.now()
      lastWallMs = wallClock()
      if (elapsedMs > minPauseMs) onPause(elapsedMs)
    })
    return new PauseDetector(cancel)
  }

  async close (): Promise<void> {
    this.cancel()
  }
}
