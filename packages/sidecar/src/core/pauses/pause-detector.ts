import type { Cancel, Clock } from 'auburnturn/core/clock'

/** Time between two comparisons of the clocks, in milliseconds. */
const checkIntervalMs = 250

/** A gap between two comparisons that is longer than this counts as a pause, in milliseconds. */
const minPauseMs = 700

/** Compares the clocks at an interval, and calls back after each pause of the process. */
export class PauseDetector {
  private readonly cancel: Cancel

  private constructor (cancel: Cancel) {
    this.cancel = cancel
  }

  static create ({ clock, wallClock, onCheck, onPause }: PauseDetectorOptions): PauseDetector {
    let lastMonotonicMs = clock.now()
    let lastWallMs = wallClock()
    const cancel = clock.every(checkIntervalMs, () => {
      const monotonicMs = clock.now() - lastMonotonicMs
      const elapsedMs = Math.max(monotonicMs, wallClock() - lastWallMs)
      lastMonotonicMs = clock.now()
      lastWallMs = wallClock()
      onCheck(Math.max(0, monotonicMs - checkIntervalMs))
      if (elapsedMs > minPauseMs) onPause(elapsedMs)
    })
    return new PauseDetector(cancel)
  }

  async close (): Promise<void> {
    this.cancel()
  }
}

interface PauseDetectorOptions {
  readonly clock: Clock
  /** Time of day in milliseconds; if it is set forward, that has the same effect as a pause. */
  readonly wallClock: () => number
  /** Called with the lateness of each comparison, in milliseconds. */
  readonly onCheck: (milliseconds: number) => void
  /** Called with the milliseconds since the previous comparison. */
  readonly onPause: (milliseconds: number) => void
}
