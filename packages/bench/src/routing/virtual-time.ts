import { newScheduler, newTimeline } from '@most/scheduler'
import type { Handle, Time, Timer } from '@most/types'
import { Clock } from 'auburnturn'

interface Alarm {
  readonly due: Time
  /** Alarms due together fire in the order they were set. */
  readonly order: number
  action: (() => void) | undefined
}

/** Time that moves from one event to the next as soon as all promises have settled. */
export class VirtualTime implements Timer {
  readonly clock: Clock
  private time = 0
  private count = 0
  private readonly heap: Alarm[] = []

  private constructor () {
    this.clock = Clock.create(newScheduler(this, newTimeline()))
  }

  static create (): VirtualTime {
    return new VirtualTime()
  }

  now (): Time {
    return this.time
  }

  setTimer (action: () => void, delay: number): Handle {
    const alarm: Alarm = { due: this.time + Math.max(0, delay), order: this.count++, action }
    this.push(alarm)
    return alarm
  }

  clearTimer (handle: Handle): void {
    (handle as Alarm).action = undefined
  }

  /** Fires every alarm up to `end` milliseconds. */
  async run (end: Time): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const step = (): void => {
        const alarm = this.pop(end)
        if (alarm === undefined) {
          this.time = Math.max(this.time, end)
          resolve()
          return
        }
        this.time = alarm.due
        try {
          alarm.action?.()
        } catch (error) {
          reject(new Error('an alarm failed', { cause: error }))
          return
        }
        // A tick set from a microtask runs when every other microtask is done.
        queueMicrotask(() => { process.nextTick(step) })
      }
      step()
    })
  }

  private pop (end: Time): Alarm | undefined {
    while (this.heap.length > 0) {
      const top = this.heap[0] as Alarm
      if (top.action !== undefined && top.due > end) return undefined
      this.removeTop()
      if (top.action !== undefined) return top
    }
    return undefined
  }

  private push (alarm: Alarm): void {
    const { heap } = this
    let index = heap.push(alarm) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isEarlier(heap[parent] as Alarm, alarm)) break
      heap[index] = heap[parent] as Alarm
      index = parent
    }
    heap[index] = alarm
  }

  private removeTop (): void {
    const { heap } = this
    const last = heap.pop() as Alarm
    const size = heap.length
    if (size === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= size) break
      if (child + 1 < size && isEarlier(heap[child + 1] as Alarm, heap[child] as Alarm)) child++
      if (isEarlier(last, heap[child] as Alarm)) break
      heap[index] = heap[child] as Alarm
      index = child
    }
    heap[index] = last
  }
}

function isEarlier (one: Alarm, other: Alarm): boolean {
  return one.due < other.due || (one.due === other.due && one.order < other.order)
}
