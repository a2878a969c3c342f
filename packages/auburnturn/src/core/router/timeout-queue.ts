import type { Clock } from '../clock/index.js'

/** Timers can fire up to this much early, in milliseconds; waiting for the remainder would busy-loop. */
const timerGranularityMs = 1

/** A scheduled timeout of one call. */
export interface QueuedTimeout {
  /** Clock milliseconds. */
  readonly dueAt: number
  readonly onTimeout: () => void
  /** Set by the caller once the call has its outcome; `onTimeout` is then never called. */
  cancelled: boolean
}

/**
 * Runs the timeouts of many calls with one timer. Timeouts fire in the order in which they were scheduled, which is
 * also the order in which the calls of one service become overdue.
 */
export class TimeoutQueue {
  private readonly clock: Clock
  private readonly timeouts: QueuedTimeout[] = []
  private timerRunning = false

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create (clock: Clock): TimeoutQueue {
    return new TimeoutQueue(clock)
  }

  /** Calls `onTimeout` after `milliseconds` unless the timeout is cancelled by then. */
  schedule (milliseconds: number, onTimeout: () => void): QueuedTimeout {
    const timeout: QueuedTimeout = { dueAt: this.clock.now() + milliseconds, onTimeout, cancelled: false }
    this.timeouts.push(timeout)
    this.startTimer()
    return timeout
  }

  private startTimer (): void {
    const first = this.timeouts[0]
    if (this.timerRunning || first === undefined) return
    this.timerRunning = true
    this.clock.after(first.dueAt - this.clock.now(), () => { this.fire() })
  }

  private fire (): void {
    this.timerRunning = false
    const now = this.clock.now()
    for (let first = this.timeouts[0]; first !== undefined; first = this.timeouts[0]) {
      if (!first.cancelled && first.dueAt - now >= timerGranularityMs) break
      this.timeouts.shift()
      if (!first.cancelled) first.onTimeout()
    }
    this.startTimer()
  }
}
