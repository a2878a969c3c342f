import { failureHalfLifeMs, failureWeight } from './constants.js'

/** The moving share of requests that failed at a target; it fades, so that the target is tried again. */
export class FailureShare {
  private share = 0
  private at = 0

  private constructor () {}

  static create (): FailureShare {
    return new FailureShare()
  }

  record (now: number, failed: boolean): void {
    this.share = this.read(now) * (1 - failureWeight) + (failed ? failureWeight : 0)
    this.at = now
  }

  read (now: number): number {
    return this.share * 0.5 ** ((now - this.at) / failureHalfLifeMs)
  }
}
