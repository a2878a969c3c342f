import { asap, cancelTask, delay, newDefaultScheduler, periodic } from '@most/scheduler'
import type { ScheduledTask, Scheduler, Task, Time } from '@most/types'
import type { CancelSignal } from './cancellation.js'
import { TimerWheel } from './timer-wheel.js'

/** Cancels a scheduled action; repeated calls do nothing. */
export type Cancel = () => void

/** Monotonic time and timers on a @most/scheduler. All durations are in milliseconds. */
export class Clock {
  readonly scheduler: Scheduler
  /** Timers for timeouts that are set for every call and usually cancelled. */
  readonly timerWheel: TimerWheel = TimerWheel.create(this)

  protected constructor (scheduler: Scheduler) {
    this.scheduler = scheduler
  }

  /** Creates a clock on `scheduler`; the default scheduler uses the monotonic clock of the system. */
  static create (scheduler: Scheduler = newDefaultScheduler()): Clock {
    return new Clock(scheduler)
  }

  /** Milliseconds since an arbitrary start; never decreases. */
  now (): number {
    return this.scheduler.currentTime()
  }

  /** Runs `action` once, `milliseconds` from now. */
  after (milliseconds: number, action: () => void): Cancel {
    const task = new ActionTask(action)
    if (milliseconds <= 0) return cancelOnce(asap(task, this.scheduler))
    return cancelOnce(delay(milliseconds, task, this.scheduler))
  }

  /** Runs `action` immediately, then every `milliseconds`. */
  every (milliseconds: number, action: () => void): Cancel {
    return cancelOnce(periodic(milliseconds, new ActionTask(action), this.scheduler))
  }

  /** Resolves after `milliseconds`, or as soon as `signal` aborts. */
  async sleep (milliseconds: number, signal?: CancelSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.after(milliseconds, finish)
      signal?.addEventListener('abort', finish, { once: true })
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
    // The scheduler calls this when `run` throws. Rethrown in a microtask, so that the error is not lost.
    queueMicrotask(() => { throw error })
  }

  dispose (): void {}
}

function cancelOnce (task: ScheduledTask): Cancel {
  let active = true
  return () => {
    if (!active) return
    active = false
    cancelTask(task)
  }
}
