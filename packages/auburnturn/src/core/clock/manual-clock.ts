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
    await settle()
    while (this.timer.step(end)) await settle()
    this.timer.jump(end)
    await settle()
  }

  /** Moves time forward without firing what became due, as a paused process would see it on waking. */
  jump (milliseconds: number): void {
    this.timer.jump(this.timer.now() + milliseconds)
  }
}

interface Alarm { readonly due: Time, readonly action: () => void }

class ManualTimer implements Timer {
  private time = 0
  private readonly alarms = new Set<Alarm>()

  now (): Time {
    return this.time
  }

  setTimer (action: () => void, delay: number): Handle {
    const alarm = { due: this.time + Math.max(0, delay), action }
    this.alarms.add(alarm)
    return alarm
  }

  clearTimer (handle: Handle): void {
    this.alarms.delete(handle as Alarm)
  }

  /** Fires the earliest alarm not later than `end`; false if there is none. */
  step (end: Time): boolean {
    let next: Alarm | undefined
    for (const alarm of this.alarms) {
      if (alarm.due <= end && (next === undefined || alarm.due < next.due)) next = alarm
    }
    if (next === undefined) return false
    this.alarms.delete(next)
    this.jump(next.due)
    next.action()
    return true
  }

  jump (time: Time): void {
    if (time > this.time) this.time = time
  }
}

async function settle (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
