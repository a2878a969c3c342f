import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Configuration } from '../configuration/index.js'
import type { SharedState, StoreClient } from './types.js'

/** Gets a configuration that another node has already: from that node, or from the store where it is long. */
export class ConfigurationFetcher {
  private readonly options: ConfigurationFetcherOptions
  private fetching = false
  /** Ends the wait for a node of this failure domain. */
  private domainWait = Cancellation.create()
  /** The node to ask: the last one of this failure domain that told of a newer version, if any did. */
  private sender: Sender | undefined

  private constructor (options: ConfigurationFetcherOptions) {
    this.options = options
  }

  static create (options: ConfigurationFetcherOptions): ConfigurationFetcher {
    return new ConfigurationFetcher(options)
  }

  /** The node at `ip` has a version in force. */
  receiveVersion (ip: string, near: boolean, version: number): void {
    if (version <= this.options.activeVersion()) return
    if (this.sender === undefined || near || !this.sender.sameDomain) this.sender = { ip, sameDomain: near, version }
    if (near) this.domainWait.abort()
    if (this.fetching) return
    this.fetching = true
    this.fetch(this.sender)
      .catch((error: unknown) => { this.options.logger.warn('configuration-fetch-failed', { from: ip, error: String(error) }) })
      .finally(() => {
        this.fetching = false
        this.sender = undefined
      })
  }

  private async fetch (first: Sender): Promise<void> {
    const { logger, activeVersion: version, requestState: ask, applyState: take } = this.options
    // A node that knows nothing yet waits for nothing.
    if (version() > 0) {
      await this.waitForDelivery(first.sameDomain)
      if (first.version > version()) await this.fetchConfiguration(this.sender ?? first)
    }
    const { ip, version: heard } = this.sender ?? first
    if (heard <= version()) return
    const state = await ask(ip)
    logger.info('state-from-node', { from: ip, heard, version: state?.configuration.version ?? 'none' })
    if (state !== undefined) take(state)
  }

  /** Lets the configuration come by itself; a wait for nodes of other failure domains ends when one of this one has it. */
  private async waitForDelivery (near: boolean): Promise<void> {
    const { clock, delayMs } = this.options
    if (!near) {
      this.domainWait = Cancellation.create()
      await clock.sleep(delayMs(false), this.domainWait)
      if (!this.domainWait.aborted) return
    }
    await clock.sleep(delayMs(true))
  }

  /** Asks the node for the configuration, and the store where it is too long for that. */
  private async fetchConfiguration ({ ip, version: heard }: Sender): Promise<void> {
    const { logger, activeVersion: version, store: source, requestConfiguration: askConfiguration, applyConfiguration: takeConfiguration } = this.options
    const told = await askConfiguration(ip)
    logger.info('configuration-from-node', { from: ip, heard, version: typeof told === 'object' ? told.version : told ?? 'none' })
    if (typeof told === 'object') takeConfiguration(told)
    if (heard <= version()) return
    const configuration = await source.readConfiguration()
    if (configuration !== undefined) takeConfiguration(configuration)
  }
}

/** A node that has told of a version. */
interface Sender {
  readonly ip: string
  readonly sameDomain: boolean
  readonly version: number
}

interface ConfigurationFetcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** The version in force here, 0 before the first. */
  readonly activeVersion: () => number
  /** How long the configuration may still come by itself, in milliseconds. */
  readonly delayMs: (near: boolean) => number
  /** Asks the node at an address for its configuration only; it does not tell a long one. */
  readonly requestConfiguration: (ip: string) => Promise<Configuration | 'long' | undefined>
  readonly store: Pick<StoreClient, 'readConfiguration'>
  readonly applyConfiguration: (configuration: Configuration) => void
  /** Asks the node at an address; undefined when it does not tell. */
  readonly requestState: (ip: string) => Promise<SharedState | undefined>
  readonly applyState: (state: SharedState) => void
}
