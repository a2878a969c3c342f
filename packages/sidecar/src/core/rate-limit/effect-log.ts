import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { boundLogIntervalMs } from './constants.js'
import type { RateLimit } from './rate-limit.js'
import type { RateLimitEffect } from './types.js'

/** Counts what the rate limit of one target does with requests, and logs it at most once a second while the limit binds. */
export class EffectLog {
  private readonly options: EffectLogOptions
  private counts = createCounts()
  private loggedAt = -Infinity

  private constructor (options: EffectLogOptions) {
    this.options = options
  }

  static create (options: EffectLogOptions): EffectLog {
    return new EffectLog(options)
  }

  /** Records the effect on one request for the target with this id. */
  record (effect: RateLimitEffect, target: string): void {
    const { clock, logger, metrics, rateLimit } = this.options
    metrics.count('rate_limited_total', { effect })
    this.counts[effect]++
    if (clock.now() - this.loggedAt < boundLogIntervalMs) return
    const { perSecond, ageMs, sentInWindow } = rateLimit
    logger.info('rate-limit-bound', { target, perSecond, ageMs: Math.round(ageMs), sentInWindow, ...this.counts })
    this.loggedAt = clock.now()
    this.counts = createCounts()
  }
}

function createCounts (): Record<RateLimitEffect, number> {
  return { redirected: 0, queued: 0, refused: 0 }
}

interface EffectLogOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly rateLimit: RateLimit
}
