import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Configuration } from '../configuration/index.js'
import type { ListedTarget } from '../targets/index.js'
import { catchUpDelayMs } from './constants.js'

/** What one node can give another that can't read the store. */
export interface SharedState {
  readonly configuration: Configuration
  readonly targets: readonly ListedTarget[]
}

/** Asks another node for its configuration where that is newer and the store does not bring it. */
export class CatchUp {
  private readonly options: CatchUpOptions
  private busy = false

  private constructor (options: CatchUpOptions) {
    this.options = options
  }

  static create (options: CatchUpOptions): CatchUp {
    return new CatchUp(options)
  }

  /** The node at `ip` has a version in force. */
  hear (ip: string, version: number): void {
    if (this.busy || version <= this.options.version()) return
    this.busy = true
    this.catchUp(ip, version)
      .catch((error: unknown) => { this.options.logger.warn('catch-up-failed', { from: ip, error: String(error) }) })
      .finally(() => { this.busy = false })
  }

  private async catchUp (ip: string, heard: number): Promise<void> {
    const { clock, logger, version, ask, take } = this.options
    // The store is mostly as quick; a node that knows nothing yet does not wait for it.
    if (version() > 0) await clock.sleep(catchUpDelayMs)
    if (heard <= version()) return
    const state = await ask(ip)
    logger.info('state-from-node', { from: ip, heard, version: state?.configuration.version ?? 'none' })
    if (state !== undefined) take(state)
  }
}

interface CatchUpOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** The version in force here, 0 before the first. */
  readonly version: () => number
  /** Asks the node at an address; undefined when it does not tell. */
  readonly ask: (ip: string) => Promise<SharedState | undefined>
  readonly take: (state: SharedState) => void
}
