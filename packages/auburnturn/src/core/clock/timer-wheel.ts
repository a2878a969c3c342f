import type { Cancel, Clock } from './clock.js'
import { wheelBuckets, wheelTickMs } from './constants.js'

/** One timeout of a wheel, linked into its bucket. */
export interface Timeout {
  /** Stops the timeout; calling it again, or after it fired, does nothing. */
  cancel (): void
}

/**
 * Many short timeouts that are mostly cancelled, at constant cost each: a hashed timing wheel.
 * One clock timer waits for the earliest of them, so that an idle process is not woken.
 */
export class TimerWheel {
  private readonly clock: Clock
  private readonly buckets: Array<WheelTimeout | undefined> = new Array(wheelBuckets).fill(undefined)
  /** The last tick whose timeouts have fired. */
  private lastFiredTick = 0
  /** The tick at which the clock wakes the wheel. */
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

  /** Runs `action` once, not before `milliseconds` from now and at most a tick later. */
  after (milliseconds: number, action: () => void): Timeout {
    const now = this.clock.now()
    if (this.size === 0) this.lastFiredTick = Math.floor(now / wheelTickMs)
    const due = Math.ceil((now + Math.max(0, milliseconds)) / wheelTickMs)
    const entry = new WheelTimeout(this, Math.max(due, this.lastFiredTick + 1), action)
    this.insert(entry)
    if (entry.dueTick < this.wakeTick) this.scheduleWake(entry.dueTick)
    return entry
  }

  /** Unlinks an entry from its bucket; for entries only. */
  remove (entry: WheelTimeout): void {
    const { previous, next } = entry
    if (previous === undefined) this.buckets[entry.dueTick % wheelBuckets] = next
    else previous.next = next
    if (next !== undefined) next.previous = previous
    this.size--
  }

  private insert (entry: WheelTimeout): void {
    const bucket = entry.dueTick % wheelBuckets
    const first = this.buckets[bucket]
    entry.next = first
    if (first !== undefined) first.previous = entry
    this.buckets[bucket] = entry
    this.size++
  }

  private scheduleWake (tick: number): void {
    this.cancelWake()
    this.wakeTick = tick
    this.cancelWake = this.clock.after(tick * wheelTickMs - this.clock.now(), () => { this.wake() })
  }

  private wake (): void {
    this.wakeTick = Infinity
    const now = Math.floor(this.clock.now() / wheelTickMs)
    // After a pause of the process one turn reaches every bucket.
    const first = Math.max(this.lastFiredTick + 1, now - wheelBuckets + 1)
    this.lastFiredTick = Math.max(this.lastFiredTick, now)
    for (let tick = first; tick <= now; tick++) this.fireBucket(tick % wheelBuckets, now)
    const next = this.findEarliestTick()
    if (next < this.wakeTick) this.scheduleWake(next)
  }

  private fireBucket (bucket: number, now: number): void {
    let entry = this.buckets[bucket]
    while (entry !== undefined) {
      const next: WheelTimeout | undefined = entry.next
      if (entry.dueTick <= now && !entry.ended) entry.fire()
      entry = next
    }
  }

  private findEarliestTick (): number {
    if (this.size === 0) return Infinity
    let earliest = Infinity
    for (let tick = this.lastFiredTick + 1; tick <= this.lastFiredTick + wheelBuckets; tick++) {
      for (let entry = this.buckets[tick % wheelBuckets]; entry !== undefined; entry = entry.next) {
        earliest = Math.min(earliest, entry.dueTick)
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

  constructor (wheel: TimerWheel, due: number, action: () => void) {
    this.wheel = wheel
    this.dueTick = due
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
