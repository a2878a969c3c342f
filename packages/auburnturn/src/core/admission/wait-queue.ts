import type { Waiter } from './types.js'

/** Calls that wait for a slot: by class, then the caller with the least running, then the earliest deadline. */
export class WaitQueue {
  private readonly waiters: Waiter[] = []
  private readonly queuedByCaller = new Map<string, number>()

  private constructor () {}

  static create (): WaitQueue {
    return new WaitQueue()
  }

  get length (): number {
    return this.waiters.length
  }

  push (waiter: Waiter): void {
    this.waiters.push(waiter)
    this.queuedByCaller.set(waiter.caller, this.queuedOf(waiter.caller) + 1)
  }

  /** Removes a waiter; false when it was not there. */
  remove (waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter)
    if (index < 0) return false
    this.waiters.splice(index, 1)
    const left = this.queuedOf(waiter.caller) - 1
    if (left === 0) this.queuedByCaller.delete(waiter.caller)
    else this.queuedByCaller.set(waiter.caller, left)
    return true
  }

  /** Takes out the waiter to run next; `runningOf` tells how many calls of a caller run now. */
  takeNext (runningOf: (caller: string) => number): Waiter | undefined {
    const next = this.pick((one, other) =>
      one.rank - other.rank ||
      runningOf(one.caller) - runningOf(other.caller) ||
      one.deadline - other.deadline)
    if (next !== undefined) this.remove(next)
    return next
  }

  /**
   * The waiter to give up for `fresh` when the queue is full: of the lowest class, of the caller that
   * has the most waiting, with the latest deadline. Undefined when that is `fresh` itself.
   */
  findEvictable (fresh: Waiter): Waiter | undefined {
    const queuedOf = (waiter: Waiter): number => this.queuedOf(waiter.caller) + (waiter.caller === fresh.caller ? 1 : 0)
    const victim = this.pick((one, other) =>
      other.rank - one.rank ||
      queuedOf(other) - queuedOf(one) ||
      other.deadline - one.deadline)
    if (victim === undefined || victim.rank < fresh.rank) return undefined
    if (victim.rank === fresh.rank && queuedOf(victim) <= queuedOf(fresh)) return undefined
    return victim
  }

  /** Empties the queue. */
  clear (): Waiter[] {
    this.queuedByCaller.clear()
    return this.waiters.splice(0)
  }

  private pick (compare: (one: Waiter, other: Waiter) => number): Waiter | undefined {
    let best: Waiter | undefined
    for (const waiter of this.waiters) {
      if (best === undefined || compare(waiter, best) < 0) best = waiter
    }
    return best
  }

  private queuedOf (caller: string): number {
    return this.queuedByCaller.get(caller) ?? 0
  }
}
