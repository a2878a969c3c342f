import { newScheduler, newTimeline } from '@most/scheduler'
import type { Handle, Time, Timer } from '@most/types'
import { Clock } from './clock.js'

/** A clock that stands still until it is told to advance; for tests and benches. */
export class ManualClock extends Clock {
  private readonly timer: ManualTimer

  private constructor (timer: ManualTimer) {
    super(newScheduler(timer, newTimeline()))
    this.timer = timer
  }

  static override create (): ManualClock {
    return new ManualClock(new ManualTimer())
  }

  /** Fires every timer due within the next `milliseconds`, in order, and lets promises settle between. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.timer.now() + milliseconds
    await flushPromises()
    while (this.timer.fireNext(end)) await flushPromises()
    this.timer.jump(end)
    await flushPromises()
  }

  /** Moves time forward without firing what became due, as a paused process would see it on waking. */
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
    const alarm = { dueAt: this.time + Math.max(0, delay), action }
    this.pending.add(alarm)
    return alarm
  }

  clearTimer (handle: Handle): void {
    this.pending.delete(handle as PendingTimer)
  }

  /** Fires the earliest alarm not later than `end`; false if there is none. */
  fireNext (end: Time): boolean {
    let next: PendingTimer | undefined
    for (const alarm of this.pending) {
      if (alarm.dueAt <= end && (next === undefined || alarm.dueAt < next.dueAt)) next = alarm
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
