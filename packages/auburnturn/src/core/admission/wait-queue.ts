import type { Waiter } from './types.js'

/** Queue of calls that wait for a slot, served by class, then fewest running calls of the caller, then earliest deadline. */
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
    this.queuedByCaller.set(waiter.caller, this.countQueued(waiter.caller) + 1)
  }

  /** Removes a waiter; false when it was not in the queue. */
  remove (waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter)
    if (index < 0) return false
    this.waiters.splice(index, 1)
    const remaining = this.countQueued(waiter.caller) - 1
    if (remaining === 0) this.queuedByCaller.delete(waiter.caller)
    else this.queuedByCaller.set(waiter.caller, remaining)
    return true
  }

  /** Removes and returns the waiter to run next; `countRunning` returns the number of running calls of a caller. */
  takeNext (countRunning: (caller: string) => number): Waiter | undefined {
    const next = this.findFirst((one, other) =>
      one.rank - other.rank ||
      countRunning(one.caller) - countRunning(other.caller) ||
      one.deadline - other.deadline)
    if (next !== undefined) this.remove(next)
    return next
  }

  /**
   * Finds the waiter to evict for `arriving` when the queue is full: of the lowest class, then of the caller with the most
   * queued calls, then with the latest deadline. Undefined when `arriving` itself should be refused.
   */
  findEvictable (arriving: Waiter): Waiter | undefined {
    const countWithArriving = (waiter: Waiter): number => this.countQueued(waiter.caller) + (waiter.caller === arriving.caller ? 1 : 0)
    const evictable = this.findFirst((one, other) =>
      other.rank - one.rank ||
      countWithArriving(other) - countWithArriving(one) ||
      other.deadline - one.deadline)
    if (evictable === undefined || evictable.rank < arriving.rank) return undefined
    if (evictable.rank === arriving.rank && countWithArriving(evictable) <= countWithArriving(arriving)) return undefined
    return evictable
  }

  /** Empties the queue and returns the waiters that were in it. */
  clear (): Waiter[] {
    this.queuedByCaller.clear()
    return this.waiters.splice(0)
  }

  /** The waiter that comes first in the order of `compare`. */
  private findFirst (compare: (one: Waiter, other: Waiter) => number): Waiter | undefined {
    let first: Waiter | undefined
    for (const waiter of this.waiters) {
      if (first === undefined || compare(waiter, first) < 0) first = waiter
    }
    return first
  }

  private countQueued (caller: string): number {
    return this.queuedByCaller.get(caller) ?? 0
  }
}
