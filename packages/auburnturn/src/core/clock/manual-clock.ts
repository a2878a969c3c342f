import { newScheduler, newTimeline } from '@most/scheduler'
import type { Handle, Time, Timer } from '@most/types'
import { Clock } from './clock.js'

/** A clock that advances only when requested; for tests and benchmarks. */
export class ManualClock extends Clock {
  private readonly timer: ManualTimer

  private constructor (timer: ManualTimer) {
    super(newScheduler(timer, newTimeline()))
    this.timer = timer
  }

  static override create (): ManualClock {
    return new ManualClock(new ManualTimer())
  }

  /** Advances the time and fires the timers that become due, in order. Runs pending promise callbacks after each timer. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.timer.now() + milliseconds
    await flushPromises()
    while (this.timer.fireNext(end)) await flushPromises()
    this.timer.jump(end)
    await flushPromises()
  }

  /** Advances the time without firing the timers that become due, as a paused process observes it when it resumes. */
  jump (milliseconds: number): void {
    this.timer.jump(this.timer.now() + milliseconds)
  }
}

interface PendingTimer { readonly dueAt: Time, readonly action: () => void }

class ManualTimer implements Timer {
  private time = 0
  private readonly pending = new Set<PendingTimer>()

  now (): Time {
    return this.time
  }

  setTimer (action: () => void, delay: number): Handle {
    const timer = { dueAt: this.time + Math.max(0, delay), action }
    this.pending.add(timer)
    return timer
  }

  clearTimer (handle: Handle): void {
    this.pending.delete(handle as PendingTimer)
  }

  /** Fires the earliest timer that is due at `end` or before; false if there is none. */
  fireNext (end: Time): boolean {
    let next: PendingTimer | undefined
    for (const timer of this.pending) {
      if (timer.dueAt <= end && (next === undefined || timer.dueAt < next.dueAt)) next = timer
    }
    if (next === undefined) return false
    this.pending.delete(next)
    this.jump(next.dueAt)
    next.action()
    return true
  }

  jump (time: Time): void {
    if (time > this.time) this.time = time
  }
}

async function flushPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
