import type { Cancel, Clock } from './clock.js'
import { wheelBuckets, wheelTickMs } from './constants.js'

/** A scheduled timeout that can be cancelled. */
export interface Timeout {
  /** Cancels the timeout; does nothing if it was cancelled or has fired. */
  cancel (): void
}

/**
 * A hashed timing wheel for many short timeouts that are usually cancelled; setting or cancelling one has constant cost.
 * A single clock timer is set for the earliest timeout, so that an idle process is not woken up.
 */
export class TimerWheel {
  private readonly clock: Clock
  private readonly buckets: Array<WheelTimeout | undefined> = new Array(wheelBuckets).fill(undefined)
  /** The last tick whose timeouts have fired. */
  private lastFiredTick = 0
  /** The tick for which the clock timer is set. */
  private wakeTick = Infinity
  private cancelWake: Cancel = doNothing
  private size = 0

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create (clock: Clock): TimerWheel {
    return new TimerWheel(clock)
  }

  /** Timeouts that have neither fired nor been cancelled. */
  get pending (): number {
    return this.size
  }

  /** Runs `action` once, not before `milliseconds` have passed and at most one tick later. */
  after (milliseconds: number, action: () => void): Timeout {
    const now = this.clock.now()
    if (this.size === 0) this.lastFiredTick = Math.floor(now / wheelTickMs)
    const dueTick = Math.ceil((now + Math.max(0, milliseconds)) / wheelTickMs)
    const timeout = new WheelTimeout(this, Math.max(dueTick, this.lastFiredTick + 1), action)
    this.insert(timeout)
    if (timeout.dueTick < this.wakeTick) this.scheduleWake(timeout.dueTick)
    return timeout
  }

  /** Removes a timeout from its bucket. Called only by the timeout itself. */
  remove (timeout: WheelTimeout): void {
    const { previous, next } = timeout
    if (previous === undefined) this.buckets[timeout.dueTick % wheelBuckets] = next
    else previous.next = next
    if (next !== undefined) next.previous = previous
    this.size--
  }

  private insert (timeout: WheelTimeout): void {
    const bucket = timeout.dueTick % wheelBuckets
    const first = this.buckets[bucket]
    timeout.next = first
    if (first !== undefined) first.previous = timeout
    this.buckets[bucket] = timeout
    this.size++
  }

  private scheduleWake (tick: number): void {
    this.cancelWake()
    this.wakeTick = tick
    this.cancelWake = this.clock.after(tick * wheelTickMs - this.clock.now(), () => { this.wake() })
  }

  private wake (): void {
    this.wakeTick = Infinity
    const currentTick = Math.floor(this.clock.now() / wheelTickMs)
    // After a long pause of the process, one revolution visits every bucket.
    const first = Math.max(this.lastFiredTick + 1, currentTick - wheelBuckets + 1)
    this.lastFiredTick = Math.max(this.lastFiredTick, currentTick)
    for (let tick = first; tick <= currentTick; tick++) this.fireBucket(tick % wheelBuckets, currentTick)
    const next = this.findEarliestTick()
    if (next < this.wakeTick) this.scheduleWake(next)
  }

  private fireBucket (bucket: number, currentTick: number): void {
    let timeout = this.buckets[bucket]
    while (timeout !== undefined) {
      const next: WheelTimeout | undefined = timeout.next
      if (timeout.dueTick <= currentTick && !timeout.ended) timeout.fire()
      timeout = next
    }
  }

  private findEarliestTick (): number {
    if (this.size === 0) return Infinity
    let earliest = Infinity
    for (let tick = this.lastFiredTick + 1; tick <= this.lastFiredTick + wheelBuckets; tick++) {
      for (let timeout = this.buckets[tick % wheelBuckets]; timeout !== undefined; timeout = timeout.next) {
        earliest = Math.min(earliest, timeout.dueTick)
      }
      if (earliest <= tick) return earliest
    }
    return earliest
  }
}

class WheelTimeout implements Timeout {
  readonly dueTick: number
  previous: WheelTimeout | undefined
  next: WheelTimeout | undefined
  ended = false
  private readonly wheel: TimerWheel
  private action: () => void

  constructor (wheel: TimerWheel, dueTick: number, action: () => void) {
    this.wheel = wheel
    this.dueTick = dueTick
    this.action = action
  }

  cancel (): void {
    if (this.ended) return
    this.ended = true
    this.action = doNothing
    this.wheel.remove(this)
  }

  fire (): void {
    const { action } = this
    this.cancel()
    action()
  }
}

function doNothing (): void {}
