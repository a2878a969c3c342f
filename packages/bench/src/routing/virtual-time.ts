import { newScheduler, newTimeline } from '@most/scheduler'
import type { Handle, Time, Timer } from '@most/types'
import { Clock } from 'auburnturn'

interface ScheduledTimer {
  readonly dueAt: Time
  /** Timers that are due at the same time fire in the order in which they were set. */
  readonly sequence: number
  /** Undefined once the timer is cleared. */
  action: (() => void) | undefined
}

/** Simulated time, which advances from one timer to the next as soon as all promises have settled. */
export class VirtualTime implements Timer {
  readonly clock: Clock
  private currentTime = 0
  private nextSequence = 0
  private readonly heap: ScheduledTimer[] = []

  private constructor () {
    this.clock = Clock.create(newScheduler(this, newTimeline()))
  }

  static create (): VirtualTime {
    return new VirtualTime()
  }

  now (): Time {
    return this.currentTime
  }

  setTimer (action: () => void, delay: number): Handle {
    const timer: ScheduledTimer = { dueAt: this.currentTime + Math.max(0, delay), sequence: this.nextSequence++, action }
    this.push(timer)
    return timer
  }

  clearTimer (handle: Handle): void {
    (handle as ScheduledTimer).action = undefined
  }

  /** Fires every timer that is due until `end` milliseconds; rejects when one throws. */
  async run (end: Time): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const fireNext = (): void => {
        const timer = this.pop(end)
        if (timer === undefined) {
          this.currentTime = Math.max(this.currentTime, end)
          resolve()
          return
        }
        this.currentTime = timer.dueAt
        try {
          timer.action?.()
        } catch (error) {
          reject(new Error('a timer callback threw an error', { cause: error }))
          return
        }
        // A process.nextTick callback that is queued in a microtask runs after all other microtasks.
        queueMicrotask(() => { process.nextTick(fireNext) })
      }
      fireNext()
    })
  }

  /** Removes and returns the next timer due until `end`, and discards cleared timers before it. */
  private pop (end: Time): ScheduledTimer | undefined {
    while (this.heap.length > 0) {
      const top = this.heap[0] as ScheduledTimer
      if (top.action !== undefined && top.dueAt > end) return undefined
      this.removeTop()
      if (top.action !== undefined) return top
    }
    return undefined
  }

  private push (timer: ScheduledTimer): void {
    const { heap } = this
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isEarlier(heap[parent] as ScheduledTimer, timer)) break
      heap[index] = heap[parent] as ScheduledTimer
      index = parent
    }
    heap[index] = timer
  }

  private removeTop (): void {
    const { heap } = this
    const last = heap.pop() as ScheduledTimer
    const size = heap.length
    if (size === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= size) break
      if (child + 1 < size && isEarlier(heap[child + 1] as ScheduledTimer, heap[child] as ScheduledTimer)) child++
      if (isEarlier(last, heap[child] as ScheduledTimer)) break
      heap[index] = heap[child] as ScheduledTimer
      index = child
    }
    heap[index] = last
  }
}

function isEarlier (one: ScheduledTimer, other: ScheduledTimer): boolean {
  return one.dueAt < other.dueAt || (one.dueAt === other.dueAt && one.sequence < other.sequence)
}
