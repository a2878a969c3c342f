import { asap, cancelTask, delay, newDefaultScheduler, periodic } from '@most/scheduler'
import type { ScheduledTask, Scheduler, Task, Time } from '@most/types'
import type { CancelSignal } from './cancellation.js'
import { TimerWheel } from './timer-wheel.js'

/** Stops what was scheduled; calling it again does nothing. */
export type Cancel = () => void

/** Monotonic time and timers over a most scheduler. All durations are milliseconds. */
export class Clock {
  readonly scheduler: Scheduler
  /** For timeouts that are set for every call and mostly cancelled. */
  readonly timerWheel: TimerWheel = TimerWheel.create(this)

  protected constructor (scheduler: Scheduler) {
    this.scheduler = scheduler
  }

  /** Takes the system's monotonic clock unless a scheduler is given. */
  static create (scheduler: Scheduler = newDefaultScheduler()): Clock {
    return new Clock(scheduler)
  }

  /** Milliseconds since an arbitrary start; never goes back. */
  now (): number {
    return this.scheduler.currentTime()
  }

  /** Runs `action` once, `milliseconds` from now. */
  after (milliseconds: number, action: () => void): Cancel {
    const task = new ActionTask(action)
    if (milliseconds <= 0) return cancelOnce(asap(task, this.scheduler))
    return cancelOnce(delay(milliseconds, task, this.scheduler))
  }

  /** Runs `action` now and then every `milliseconds`. */
  every (milliseconds: number, action: () => void): Cancel {
    return cancelOnce(periodic(milliseconds, new ActionTask(action), this.scheduler))
  }

  /** Resolves after `milliseconds`, or as soon as `signal` aborts. */
  async sleep (milliseconds: number, signal?: CancelSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const wake = (): void => {
        cancel()
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const cancel = this.after(milliseconds, wake)
      signal?.addEventListener('abort', wake, { once: true })
    })
  }
}

class ActionTask implements Task {
  private readonly action: () => void

  constructor (action: () => void) {
    this.action = action
  }

  run (_time: Time): void {
    this.action()
  }

  error (_time: Time, error: Error): void {
    // most calls this when run throws; hiding it would lose the failure.
    queueMicrotask(() => { throw error })
  }

  dispose (): void {}
}

function cancelOnce (task: ScheduledTask): Cancel {
  let live = true
  return () => {
    if (!live) return
    live = false
    cancelTask(task)
  }
}
