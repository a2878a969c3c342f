import { bucketCount, bucketMs, spendableShare } from './constants.js'

/** Counts of one time slice of the window. */
interface Bucket {
  /** Clock time divided by the length of a bucket. */
  index: number
  firstAttempts: number
  retries: number
}

/** Retries that all nodes together may send in a window. */
export interface RetryBudget {
  /** Retries per first attempt. */
  readonly ratio: number
  /** Fixed number of additional retries, over all nodes. */
  readonly allowance: number
  /** Number of nodes that share the allowance. */
  readonly nodes: number
}

/**
 * The part of a retry budget that one node may spend on one service, without coordination with the other nodes:
 * a share of its own first attempts, plus an equal part of the fixed allowance, over a sliding window.
 */
export class RetryWindow {
  private readonly buckets: Bucket[] = []

  private constructor () {}

  static create (): RetryWindow {
    return new RetryWindow()
  }

  /** Counts the first attempt of a request for the service. */
  countFirstAttempt (now: number): void {
    this.getBucket(now).firstAttempts++
  }

  /** Takes one retry from this node's part of the budget; false when none remains. */
  takeRetry (now: number, { ratio, allowance, nodes }: RetryBudget): boolean {
    const current = this.getBucket(now)
    const firstAttempts = this.buckets.reduce((sum, bucket) => sum + bucket.firstAttempts, 0)
    const retries = this.buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
    if (retries + 1 > (firstAttempts * ratio + allowance / Math.max(1, nodes)) * spendableShare) return false
    current.retries++
    return true
  }

  private getBucket (now: number): Bucket {
    const index = Math.floor(now / bucketMs)
    while (this.buckets.length > 0 && (this.buckets[0] as Bucket).index <= index - bucketCount) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last !== undefined && last.index === index) return last
    const bucket = { index, firstAttempts: 0, retries: 0 }
    this.buckets.push(bucket)
    return bucket
  }
}
