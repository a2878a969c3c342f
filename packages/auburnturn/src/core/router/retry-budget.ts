import { maxSavedRetries, initialRetries } from './constants.js'

/**
 * Retries and hedges of one service, held to a share of its first attempts.
 * A few may be spent before they are earned, so that a service with few calls can retry at all.
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

  /** Counts a first attempt, which earns `share` of a retry. */
  deposit (share: number): void {
    this.firstAttempts++
    this.deposited = Math.min(this.deposited + share, this.withdrawn + maxSavedRetries)
  }

  /** Whether one more attempt is within the budget; takes it. */
  tryWithdraw (): boolean {
    if (this.balance < 1) {
      this.denied++
      return false
    }
    this.withdrawn++
    return true
  }

  /** Attempts that may be taken now. */
  get balance (): number {
    return Math.max(initialRetries, this.deposited) - this.withdrawn
  }

  dump (): { readonly firsts: number, readonly spent: number, readonly denied: number, readonly left: number } {
    const { firstAttempts: firsts, withdrawn: spent, denied, balance: left } = this
    return { firsts, spent, denied, left }
  }
}
