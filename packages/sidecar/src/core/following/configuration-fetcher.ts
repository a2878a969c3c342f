import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Configuration } from '../configuration/index.js'
import type { StoreClient } from '../store/index.js'
import type { SharedState } from './types.js'

/** Fetches a configuration that another node already has: from that node, or from the store if it is too large for that. */
export class ConfigurationFetcher {
  private readonly options: ConfigurationFetcherOptions
  private fetching = false
  /** Cancels the wait for a node of this failure domain. */
  private domainWait = Cancellation.create()
  /** The last node that announced a newer version, preferably one of this failure domain: requests are sent to it. */
  private sender: Sender | undefined

  private constructor (options: ConfigurationFetcherOptions) {
    this.options = options
  }

  static create (options: ConfigurationFetcherOptions): ConfigurationFetcher {
    return new ConfigurationFetcher(options)
  }

  /** Handles the announcement that a version is active on the node at `ip`. */
  receiveVersion (ip: string, sameDomain: boolean, version: number): void {
    if (version <= this.options.activeVersion()) return
    if (this.sender === undefined || sameDomain || !this.sender.sameDomain) this.sender = { ip, sameDomain, version }
    if (sameDomain) this.domainWait.abort()
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
    const { logger, activeVersion, requestState, applyState } = this.options
    // A node without a configuration requests the state immediately.
    if (activeVersion() > 0) {
      await this.waitForDelivery(first.sameDomain)
      if (first.version > activeVersion()) await this.fetchConfiguration(this.sender ?? first)
    }
    const { ip, version: announcedVersion } = this.sender ?? first
    if (announcedVersion <= activeVersion()) return
    const state = await requestState(ip)
    logger.info('state-from-node', { from: ip, heard: announcedVersion, version: state?.configuration.version ?? 'none' })
    if (state !== undefined) applyState(state)
  }

  /**
   * Waits in case the configuration arrives without a request. The wait for nodes of other failure domains ends as
   * soon as a node of this one announces the version.
   */
  private async waitForDelivery (sameDomain: boolean): Promise<void> {
    const { clock, delayMs } = this.options
    if (!sameDomain) {
      this.domainWait = Cancellation.create()
      await clock.sleep(delayMs(false), this.domainWait)
      if (!this.domainWait.aborted) return
    }
    await clock.sleep(delayMs(true))
  }

  /** Requests the configuration from the sender, and from the store if the sender does not provide it. */
  private async fetchConfiguration ({ ip, version: announcedVersion }: Sender): Promise<void> {
    const { logger, activeVersion, store, requestConfiguration, applyConfiguration } = this.options
    const response = await requestConfiguration(ip)
    logger.info('configuration-from-node', { from: ip, heard: announcedVersion, version: typeof response === 'object' ? response.version : response ?? 'none' })
    if (typeof response === 'object') applyConfiguration(response)
    if (announcedVersion <= activeVersion()) return
    const configuration = await store.readConfiguration()
    if (configuration !== undefined) applyConfiguration(configuration)
  }
}

/** A node that announced a version. */
interface Sender {
  readonly ip: string
  readonly sameDomain: boolean
  readonly version: number
}

interface ConfigurationFetcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Version of the active configuration, 0 before the first. */
  readonly activeVersion: () => number
  /** How long to wait for the configuration to arrive without a request, in milliseconds. */
  readonly delayMs: (sameDomain: boolean) => number
  /** Requests only the configuration from the node at an address: 'long' if too large for a response, undefined on failure. */
  readonly requestConfiguration: (ip: string) => Promise<Configuration | 'long' | undefined>
  readonly store: Pick<StoreClient, 'readConfiguration'>
  readonly applyConfiguration: (configuration: Configuration) => void
  /** Requests the state of the node at an address; undefined if it does not provide it. */
  readonly requestState: (ip: string) => Promise<SharedState | undefined>
  readonly applyState: (state: SharedState) => void
}
