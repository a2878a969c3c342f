import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { firstBackoffMs, gatherMs, maxBackoffMs, watchMs } from './constants.js'
import type { Change, Source, SourceAnswer } from './types.js'

/** Follows the store: lists it once, then watches; lists again when the history is gone. */
export class Follower {
  private readonly options: FollowerOptions
  private revision: number | undefined
  private failures = 0
  private closed = false

  private constructor (options: FollowerOptions) {
    this.options = options
  }

  /** Follows until it is closed. */
  static create (options: FollowerOptions): Follower {
    const follower = new Follower(options)
    follower.run().catch(options.onFailure)
    return follower
  }

  /** Whether the last call was answered. */
  get inTouch (): boolean {
    return this.revision !== undefined && this.failures === 0
  }

  close (): void {
    this.closed = true
  }

  private async run (): Promise<void> {
    const { source, clock } = this.options
    while (!this.closed) {
      const asked = this.revision
      const answer = asked === undefined ? await source.list() : await source.watch(asked, watchMs)
      if (this.closed) return
      const pauseMs = this.take(answer, asked === undefined)
      if (pauseMs > 0) await clock.sleep(pauseMs)
    }
  }

  /** Applies an answer; the pause to make after it, in milliseconds. */
  private take (answer: SourceAnswer, whole: boolean): number {
    switch (answer.kind) {
      case 'failed':
        return this.fail(answer.cause)
      case 'forgotten':
        this.options.logger.info('store-history-gone', { revision: this.revision })
        this.revision = undefined
        return 0
      case 'changes':
        this.succeed()
        this.revision = answer.revision
        this.options.apply(answer.changes, whole)
        return answer.changes.length > 0 && !whole ? gatherMs : 0
    }
  }

  private succeed (): void {
    if (this.failures > 0) this.options.logger.info('store-regained', { failures: this.failures })
    this.failures = 0
  }

  private fail (cause: string): number {
    const { logger, random } = this.options
    if (this.failures === 0) logger.warn('store-lost', { cause, revision: this.revision })
    this.failures++
    const backoff = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(this.failures, 10))
    return backoff * (0.5 + random.fraction() / 2)
  }
}

interface FollowerOptions {
  readonly source: Source
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Takes changes; `whole` when they are all that the store holds. */
  readonly apply: (changes: readonly Change[], whole: boolean) => void
  /** Called when following can't go on. */
  readonly onFailure: (error: unknown) => void
}
