import { bucketMs, bucketCount, spendableShare } from './constants.js'

/** One slice of time of the window. */
interface Bucket {
  index: number
  firstAttempts: number
  retries: number
}

/** What all nodes together may repeat in a window. */
export interface RetryBudget {
  /** Repeats for each request. */
  readonly ratio: number
  /** Repeats beside those, over all nodes. */
  readonly allowance: number
  /** Nodes that share it. */
  readonly nodes: number
}

/**
 * The part of a retry budget that one node may spend on one service, without talking to the others:
 * a share of its own first attempts, and an equal part of the fixed allowance, over a sliding window.
 */
export class RetryWindow {
  private readonly buckets: Bucket[] = []

  private constructor () {}

  static create (): RetryWindow {
    return new RetryWindow()
  }

  /** Counts a request for the service. */
  countFirstAttempt (now: number): void {
    this.bucketAt(now).firstAttempts++
  }

  /** Takes one repeat from the budget, if this node's part of it has one left. */
  takeRetry (now: number, { ratio, allowance, nodes }: RetryBudget): boolean {
    const current = this.bucketAt(now)
    const firsts = this.buckets.reduce((sum, bucket) => sum + bucket.firstAttempts, 0)
    const repeats = this.buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
    if (repeats + 1 > (firsts * ratio + allowance / Math.max(1, nodes)) * spendableShare) return false
    current.retries++
    return true
  }

  private bucketAt (now: number): Bucket {
    const index = Math.floor(now / bucketMs)
    while (this.buckets.length > 0 && (this.buckets[0] as Bucket).index <= index - bucketCount) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last !== undefined && last.index === index) return last
    const fresh = { index, firsts: 0, repeats: 0 }
    this.buckets.push(fresh)
    return fresh
  }
}
