import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { EffectLog, RateLimit } from '../rate-limit/index.js'
import type { RateLimitEffect } from '../rate-limit/index.js'
import type { AnswerHead } from '../requests/index.js'

/** What the target on this VM demands of all nodes in its answers: a rate limit, and no new requests while it drains. */
export class Demands {
  readonly rateLimit: RateLimit
  private readonly options: DemandsOptions
  private readonly effectLog: EffectLog
  private announcedDraining = false

  private constructor (options: DemandsOptions) {
    this.options = options
    this.rateLimit = RateLimit.create({ clock: options.clock })
    this.effectLog = EffectLog.create({ ...options, rateLimit: this.rateLimit })
  }

  static create (options: DemandsOptions): Demands {
    return new Demands(options)
  }

  /** Whether the present incarnation of the target has announced that it drains. */
  get draining (): boolean {
    return this.announcedDraining
  }

  /** Applies the head of an answer of the target with this id. */
  update ({ rateLimit, draining }: AnswerHead, target: string): void {
    const { logger, metrics, onDraining } = this.options
    if (rateLimit === 'unreadable') metrics.count('rate_limits_unreadable_total')
    const change = this.rateLimit.update(rateLimit)
    if (change !== undefined) logger.info('rate-limit-changed', { target, from: change.from, to: change.to, ageMs: Math.round(change.ageMs), sentInWindow: this.rateLimit.sentInWindow })
    if (!draining || this.announcedDraining) return
    this.announcedDraining = true
    logger.info('target-draining', { target })
    onDraining()
  }

  /** Records what the rate limit did with a request for the target with this id. */
  recordEffect (effect: RateLimitEffect, target: string): void {
    this.effectLog.record(effect, target)
  }

  /** Forgets that the target drains, since another incarnation may run. Its first answer states the rate limit. */
  forgetDraining (): void {
    this.announcedDraining = false
  }
}

interface DemandsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Called when the target announces that it drains. */
  readonly onDraining: () => void
}
