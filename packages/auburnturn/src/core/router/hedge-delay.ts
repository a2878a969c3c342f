import { initialHedgeDelayMs, hedgeQuantile, hedgeDelayStepShare } from './constants.js'

/** Follows the time within which most first attempts of a service answer. */
export class HedgeDelay {
  private delay = initialHedgeDelayMs

  private constructor () {}

  static create (): HedgeDelay {
    return new HedgeDelay()
  }

  /** Milliseconds to wait for the first attempt before a second is sent. */
  get milliseconds (): number {
    return this.delay
  }

  /** Steps up after a slower answer and down after a faster one, so that it rests at the quantile. */
  record (latencyMs: number): void {
    const step = this.delay * hedgeDelayStepShare
    this.delay += latencyMs > this.delay ? step * hedgeQuantile : -step * (1 - hedgeQuantile)
  }
}
