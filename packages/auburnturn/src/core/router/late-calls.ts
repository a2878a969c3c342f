import type { Clock } from '../clock/index.js'

/** Timers fire up to this much early, in milliseconds; waiting for the rest would spin. */
const granularityMs = 1

/** A call that is told when it is late. */
export interface Watched {
  readonly dueAt: number
  readonly wake: () => void
  /** Set once the call has its outcome; it is then never told. */
  settled: boolean
}

/** Watches many calls with one timer; the calls of a service become late in the order they came. */
export class LateCalls {
  private readonly clock: Clock
  private readonly waiting: Watched[] = []
  private armed = false

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create (clock: Clock): LateCalls {
    return new LateCalls(clock)
  }

  /** Calls `wake` in `milliseconds` unless the call is settled by then. */
  watch (milliseconds: number, wake: () => void): Watched {
    const watched: Watched = { dueAt: this.clock.now() + milliseconds, wake, settled: false }
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
      if (!first.settled) first.wake()
    }
    this.arm()
  }
}
