import { hedgeDelayStepShare, hedgeQuantile, initialHedgeDelayMs } from './constants.js'

/** Estimates the latency quantile `hedgeQuantile` of the first attempts of a service, after which a hedge is sent. */
export class HedgeDelay {
  private delayMs = initialHedgeDelayMs

  private constructor () {}

  static create (): HedgeDelay {
    return new HedgeDelay()
  }

  /** Time to wait for the first attempt before a second is sent. */
  get milliseconds (): number {
    return this.delayMs
  }

  /** Raises the delay after a slower answer and lowers it after a faster one, with steps that converge to the quantile. */
  record (latencyMs: number): void {
    const step = this.delayMs * hedgeDelayStepShare
    this.delayMs += latencyMs > this.delayMs ? step * hedgeQuantile : -step * (1 - hedgeQuantile)
  }
}
