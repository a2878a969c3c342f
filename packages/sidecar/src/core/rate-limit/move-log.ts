import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { boundLogIntervalMs } from './constants.js'

/** A target that a request was not sent to because of its rate limit. */
export interface AvoidedTarget {
  readonly id: string
  readonly rateWaitMs: number
  readonly reportAgeMs: number
}

/** Counts the requests that this node sends to other targets because of rate limits, and logs them at most once a second. */
export class MoveLog {
  private readonly options: MoveLogOptions
  private moved = 0
  private loggedAt = -Infinity

  private constructor (options: MoveLogOptions) {
    this.options = options
  }

  static create (options: MoveLogOptions): MoveLog {
    return new MoveLog(options)
  }

  /** Records that a request went to `chosen`, the id of a target, in place of one with a rate limit. */
  record ({ id, rateWaitMs, reportAgeMs }: AvoidedTarget, chosen: string): void {
    const { clock, logger, metrics } = this.options
    metrics.count('rate_limited_total', { effect: 'moved' })
    this.moved++
    if (clock.now() - this.loggedAt < boundLogIntervalMs) return
    logger.info('rate-limit-moved', { from: id, to: chosen, waitMs: Math.round(rateWaitMs), heardMsAgo: Math.round(reportAgeMs), moved: this.moved })
    this.loggedAt = clock.now()
    this.moved = 0
  }
}

interface MoveLogOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}
