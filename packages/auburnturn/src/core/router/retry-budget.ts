import { initialRetries, maxSavedRetries } from './constants.js'

/**
 * Limits the retries and hedges of one service to a share of its first attempts.
 * It starts with `initialRetries`, so that a service with few calls can retry at all.
 */
export class RetryBudget {
  private deposited = 0
  private firstAttempts = 0
  private withdrawn = 0
  private denied = 0

  private constructor () {}

  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Counts a first attempt, which adds `share` of a retry to the budget. */
  deposit (share: number): void {
    this.firstAttempts++
    this.deposited = Math.min(this.deposited + share, this.withdrawn + maxSavedRetries)
  }

  /** Takes one retry or hedge from the budget; false when the budget is exhausted. */
  tryWithdraw (): boolean {
    if (this.balance < 1) {
      this.denied++
      return false
    }
    this.withdrawn++
    return true
  }

  /** Retries and hedges that are available now. */
  get balance (): number {
    return Math.max(initialRetries, this.deposited) - this.withdrawn
  }

  dump (): { readonly firsts: number, readonly spent: number, readonly denied: number, readonly left: number } {
    const { firstAttempts: firsts, withdrawn: spent, denied, balance: left } = this
    return { firsts, spent, denied, left }
  }
}
