import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Configuration } from '../configuration/index.js'
import type { SharedState, Source } from './types.js'

/** Gets a configuration that another node has already: from that node, or from the store where it is long. */
export class CatchUp {
  private readonly options: CatchUpOptions
  private busy = false
  /** Ends the wait for a node of this failure domain. */
  private waiting = Cancellation.create()
  /** The node to ask: the last one of this failure domain that told of a newer version, if any did. */
  private teller: Teller | undefined

  private constructor (options: CatchUpOptions) {
    this.options = options
  }

  static create (options: CatchUpOptions): CatchUp {
    return new CatchUp(options)
  }

  /** The node at `ip` has a version in force. */
  hear (ip: string, near: boolean, version: number): void {
    if (version <= this.options.version()) return
    if (this.teller === undefined || near || !this.teller.near) this.teller = { ip, near, version }
    if (near) this.waiting.abort()
    if (this.busy) return
    this.busy = true
    this.catchUp(this.teller)
      .catch((error: unknown) => { this.options.logger.warn('catch-up-failed', { from: ip, error: String(error) }) })
      .finally(() => {
        this.busy = false
        this.teller = undefined
      })
  }

  private async catchUp (first: Teller): Promise<void> {
    const { logger, version, ask, take } = this.options
    // A node that knows nothing yet waits for nothing.
    if (version() > 0) {
      await this.wait(first.near)
      if (first.version > version()) await this.read(this.teller ?? first)
    }
    const { ip, version: heard } = this.teller ?? first
    if (heard <= version()) return
    const state = await ask(ip)
    logger.info('state-from-node', { from: ip, heard, version: state?.configuration.version ?? 'none' })
    if (state !== undefined) take(state)
  }

  /** Lets the configuration come by itself; a wait for nodes of other failure domains ends when one of this one has it. */
  private async wait (near: boolean): Promise<void> {
    const { clock, delayMs } = this.options
    if (!near) {
      this.waiting = Cancellation.create()
      await clock.sleep(delayMs(false), this.waiting)
      if (!this.waiting.aborted) return
    }
    await clock.sleep(delayMs(true))
  }

  /** Asks the node for the configuration, and the store where it is too long for that. */
  private async read ({ ip, version: heard }: Teller): Promise<void> {
    const { logger, version, source, askConfiguration, takeConfiguration } = this.options
    const told = await askConfiguration(ip)
    logger.info('configuration-from-node', { from: ip, heard, version: typeof told === 'object' ? told.version : told ?? 'none' })
    if (typeof told === 'object') takeConfiguration(told)
    if (heard <= version()) return
    const configuration = await source.readConfiguration()
    if (configuration !== undefined) takeConfiguration(configuration)
  }
}

/** A node that has told of a version. */
interface Teller {
  readonly ip: string
  readonly near: boolean
  readonly version: number
}

interface CatchUpOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** The version in force here, 0 before the first. */
  readonly version: () => number
  /** How long the configuration may still come by itself, in milliseconds. */
  readonly delayMs: (near: boolean) => number
  /** Asks the node at an address for its configuration only; it does not tell a long one. */
  readonly askConfiguration: (ip: string) => Promise<Configuration | 'long' | undefined>
  readonly source: Pick<Source, 'readConfiguration'>
  readonly takeConfiguration: (configuration: Configuration) => void
  /** Asks the node at an address; undefined when it does not tell. */
  readonly ask: (ip: string) => Promise<SharedState | undefined>
  readonly take: (state: SharedState) => void
}
