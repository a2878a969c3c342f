import type { Clock } from '../clock/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Logger } from '../logger/index.js'
import type { Directory } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Notices } from '../notices/index.js'
import { FollowerReadSchedule, PlatformReader } from '../platform/index.js'
import type { PlatformClient } from '../platform/index.js'
import type { Random } from '../random/index.js'
import { MemberListStore, Relay } from '../relay/index.js'
import { startTimeoutMs } from '../relay/constants.js'
import type { NodeSettings } from '../settings/index.js'
import type { Part } from '../supervisor/types.js'
import { registerConfigurationMetrics } from './configuration-metrics.js'

/** Settings and components that the updater reads from and writes to. */
export interface ConfigurationUpdaterOptions {
  readonly settings: NodeSettings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly controlClients: ControlClients
  readonly store: ConfigurationStore
  readonly directory: Directory
  readonly notices: Notices
}

/** Keeps configuration and member lists up to date: few nodes read them from the platform, the relay distributes them. */
export class ConfigurationUpdater implements Part {
  readonly relay: Relay
  readonly memberLists: MemberListStore
  private readonly options: ConfigurationUpdaterOptions
  private reader: PlatformReader | undefined

  private constructor (options: ConfigurationUpdaterOptions) {
    const { settings, clock, random, logger, metrics, controlClients, store, directory, notices } = options
    this.options = options
    this.memberLists = MemberListStore.create({ digest: store.digest, clock })
    this.memberLists.observe((_entry, _changes, list) => { directory.accept(list) })
    const { id, region, failureDomain, control } = settings
    this.relay = Relay.create({
      self: { id, region, failureDomain, ip: control.ip, controlPort: control.port },
      clock,
      random,
      logger: logger.createChild('relay'),
      metrics,
      controlClients,
      store,
      memberLists: this.memberLists,
      notices
    })
  }

  static create (options: ConfigurationUpdaterOptions): ConfigurationUpdater {
    return new ConfigurationUpdater(options)
  }

  get routes (): Routes {
    return this.relay.routes
  }

  /** Starts to read and relay. Resolves when platform and peers have been queried once, or after a timeout. */
  async start (platform: PlatformClient): Promise<void> {
    const { settings, clock, random, logger, metrics, store } = this.options
    this.relay.start()
    registerConfigurationMetrics(this.options.metrics, { store: this.options.store, relay: this.relay })
    const { fleetSize, readsPerSecond } = settings.platformReads
    const schedule = FollowerReadSchedule.create({ clock, random, fleetReadsPerSecond: readsPerSecond, fleetSize: () => Math.max(fleetSize, this.memberLists.size) })
    this.reader = PlatformReader.create({
      platform,
      store,
      clock,
      random,
      logger: logger.createChild('platform'),
      metrics,
      schedule,
      applyList: list => this.memberLists.acceptList(list) === 'accepted',
      isReader: () => this.relay.readerElection.role === 'reader',
      hasMemberList: () => this.memberLists.size > 0
    })
    await this.waitForInitialState(this.reader)
  }

  async close (): Promise<void> {
    await this.reader?.close()
    await this.relay.close()
  }

  dump (): unknown {
    return { reader: this.reader?.dump(), relay: this.relay.dump() }
  }

  /** Waits for the initial state, and logs when none arrives in time. */
  private async waitForInitialState (reader: PlatformReader): Promise<void> {
    const { clock, logger } = this.options
    const cancellation = new AbortController()
    const received = this.receiveInitialState(reader, cancellation.signal).then(() => 'answered' as const)
    const timeout = clock.sleep(startTimeoutMs, cancellation.signal).then(() => 'silent' as const)
    const outcome = await Promise.race([received, timeout])
    cancellation.abort()
    if (outcome === 'silent') logger.warn('initial-read-timed-out', { waitedMs: startTimeoutMs, services: this.memberLists.size })
  }

  /** Waits for the first member list from the platform or a peer, then requests from peers what the platform may lack. */
  private async receiveInitialState (reader: PlatformReader, signal: AbortSignal): Promise<void> {
    await Promise.race([reader.firstReadDone, this.waitUntilListReceived(signal)])
    if (this.relay.topology.domainPeers.length > 1) await this.relay.syncWithAnyPeer()
  }

  private async waitUntilListReceived (signal: AbortSignal): Promise<void> {
    const checkIntervalMs = 50
    while (this.memberLists.size === 0 && !signal.aborted) await this.options.clock.sleep(checkIntervalMs, signal)
  }
}
