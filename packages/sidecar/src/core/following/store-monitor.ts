import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { StoreClient } from '../store/index.js'
import { checkIntervalMs } from './constants.js'

/**
 * While this node reads the store, checks at short intervals whether the store still answers it. A watch can't show that: it
 * is silent while nothing changes, and also if its connection has failed.
 */
export class StoreMonitor {
  private readonly options: StoreMonitorOptions
  private readonly cancel: Cancel
  private checking = false

  private constructor (options: StoreMonitorOptions) {
    this.options = options
    this.cancel = options.clock.every(checkIntervalMs, () => {
      if (this.checking || !options.isReading()) return
      this.checking = true
      this.check()
        .catch(options.onFailure)
        .finally(() => { this.checking = false })
    })
  }

  static create (options: StoreMonitorOptions): StoreMonitor {
    return new StoreMonitor(options)
  }

  close (): void {
    this.cancel()
  }

  private async check (): Promise<void> {
    const { store, isReading, onUnanswered } = this.options
    const answered = await store.check()
    if (!answered && isReading()) onUnanswered()
  }
}

interface StoreMonitorOptions {
  readonly clock: Clock
  readonly store: Pick<StoreClient, 'check'>
  /** Whether this node is a reader that the store answered last. */
  readonly isReading: () => boolean
  /** Called when the store did not answer a check. */
  readonly onUnanswered: () => void
  /** Called with an unexpected error. */
  readonly onFailure: (error: unknown) => void
}
