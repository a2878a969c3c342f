import { maxRetries, reserveRetries } from './constants.js'

/**
 * Retries and hedges of one service, held to a share of its first attempts.
 * A few may be spent before they are earned, so that a service with few calls can retry at all.
 */
export class RetryBudget {
  private earned = 0
  private firsts = 0
  private spent = 0
  private denied = 0

  private constructor () {}

  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Counts a first attempt, which earns `share` of a retry. */
  earn (share: number): void {
    this.firsts++
    this.earned = Math.min(this.earned + share, this.spent + maxRetries)
  }

  /** Whether one more attempt is within the budget; takes it. */
  take (): boolean {
    if (this.left < 1) {
      this.denied++
      return false
    }
    this.spent++
    return true
  }

  /** Attempts that may be taken now. */
  get left (): number {
    return Math.max(reserveRetries, this.earned) - this.spent
  }

  dump (): { readonly firsts: number, readonly spent: number, readonly denied: number, readonly left: number } {
    const { firsts, spent, denied, left } = this
    return { firsts, spent, denied, left }
  }
}
