import { failureHalfLifeMs, failureWeight } from './constants.js'

/** The moving share of requests that failed at a target; it fades, so that the target is tried again. */
export class FailureRate {
  private rate = 0
  private updatedAt = 0

  private constructor () {}

  static create (): FailureRate {
    return new FailureRate()
  }

  record (now: number, failed: boolean): void {
    this.rate = this.read(now) * (1 - failureWeight) + (failed ? failureWeight : 0)
    this.updatedAt = now
  }

  read (now: number): number {
    return this.rate * 0.5 ** ((now - this.updatedAt) / failureHalfLifeMs)
  }
}
