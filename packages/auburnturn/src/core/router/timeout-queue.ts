import type { Clock } from '../clock/index.js'

/** Timers fire up to this much early, in milliseconds; waiting for the rest would spin. */
const granularityMs = 1

/** A call that is told when it is late. */
export interface QueuedTimeout {
  readonly dueAt: number
  readonly onTimeout: () => void
  /** Set once the call has its outcome; it is then never told. */
  settled: boolean
}

/** Watches many calls with one timer; the calls of a service become late in the order they came. */
export class TimeoutQueue {
  private readonly clock: Clock
  private readonly waiting: QueuedTimeout[] = []
  private armed = false

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create (clock: Clock): TimeoutQueue {
    return new TimeoutQueue(clock)
  }

  /** Calls `wake` in `milliseconds` unless the call is settled by then. */
  schedule (milliseconds: number, wake: () => void): QueuedTimeout {
    const watched: QueuedTimeout = { dueAt: this.clock.now() + milliseconds, onTimeout: wake, settled: false }
    this.waiting.push(watched)
    this.arm()
    return watched
  }

  private arm (): void {
    const first = this.waiting[0]
    if (this.armed || first === undefined) return
    this.armed = true
    this.clock.after(first.dueAt - this.clock.now(), () => { this.fire() })
  }

  private fire (): void {
    this.armed = false
    const now = this.clock.now()
    for (let first = this.waiting[0]; first !== undefined; first = this.waiting[0]) {
      if (!first.settled && first.dueAt - now >= granularityMs) break
      this.waiting.shift()
      if (!first.settled) first.onTimeout()
    }
    this.arm()
  }
}
