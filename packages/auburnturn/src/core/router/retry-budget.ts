import { maxRetries, reserveRetries } from './constants.js'

/** Retries and hedges of one service, held to a share of its first attempts. */
export class RetryBudget {
  private left = reserveRetries
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
    this.left = Math.min(maxRetries, this.left + share)
  }

  /** Whether one more attempt is within the budget; takes it. */
  take (): boolean {
    if (this.left < 1) {
      this.denied++
      return false
    }
    this.left--
    this.spent++
    return true
  }

  dump (): { readonly firsts: number, readonly spent: number, readonly denied: number, readonly left: number } {
    const { firsts, spent, denied, left } = this
    return { firsts, spent, denied, left }
  }
}
