import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Configuration } from '../configuration/index.js'
import type { SharedState, Source } from './types.js'

/** Gets a configuration that another node has already: from the store, or from that node where the store does not give it. */
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
    const { clock, logger, version, ask, take, delayMs } = this.options
    // A node that knows nothing yet waits for nothing.
    if (version() > 0) {
      await clock.sleep(delayMs())
      if (heard <= version()) return
      await this.read(heard)
    }
    if (heard <= version()) return
    const state = await ask(ip)
    logger.info('state-from-node', { from: ip, heard, version: state?.configuration.version ?? 'none' })
    if (state !== undefined) take(state)
  }

  /** Reads it from the store: cheaply first, which may give an older one. */
  private async read (heard: number): Promise<void> {
    const { version, source, takeConfiguration } = this.options
    for (const how of ['cheap', 'newest'] as const) {
      const configuration = await source.readConfiguration(how)
      if (configuration === undefined) return
      takeConfiguration(configuration)
      if (heard <= version()) return
    }
  }
}

interface CatchUpOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** The version in force here, 0 before the first. */
  readonly version: () => number
  /** How long the configuration may still come by itself, in milliseconds. */
  readonly delayMs: () => number
  readonly source: Pick<Source, 'readConfiguration'>
  readonly takeConfiguration: (configuration: Configuration) => void
  /** Asks the node at an address; undefined when it does not tell. */
  readonly ask: (ip: string) => Promise<SharedState | undefined>
  readonly take: (state: SharedState) => void
}
