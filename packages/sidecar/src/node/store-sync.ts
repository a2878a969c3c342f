import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import type { Part } from 'auburnturn/core/supervisor'
import { ConfigurationFetcher, crossDomainFetchJitterMs, fetchJitterMs, Follower, watchDeliveryMs } from '../core/following/index.js'
import type { Peers } from '../core/forwarding/index.js'
import { ReaderElection } from '../core/readers/index.js'
import type { Announcer, ChangesNotice, ReaderNotice } from '../core/readers/index.js'
import type { StoreClient, StorePosition } from '../core/store/index.js'
import type { LocalState } from './local-state.js'

/** Keeps the local state in step with the store: by own calls while this node is a reader, through other nodes otherwise. */
export class StoreSync {
  readonly election: ReaderElection
  private readonly options: StoreSyncOptions
  private readonly configurationFetcher: ConfigurationFetcher
  private follower: Follower | undefined

  private constructor (options: StoreSyncOptions) {
    this.options = options
    this.election = this.createElection()
    this.configurationFetcher = this.createConfigurationFetcher()
  }

  static create (options: StoreSyncOptions): StoreSync {
    return new StoreSync(options)
  }

  /** Position in the store up to which all changes are known; undefined before the first list. */
  get knownPosition (): StorePosition | undefined {
    return this.follower?.knownPosition
  }

  /** Starts to follow the store; replaces the previous follower after a failure. */
  startFollower (onFailure: (error: unknown) => void): Part {
    const { store, clock, random, logger, state, peers, announcer } = this.options
    const { election } = this
    const follower = Follower.create({
      store,
      clock,
      random,
      logger,
      election,
      apply: (changes, fullList, restored) => { state.applyStoreChanges(changes, fullList, restored) },
      onListed: position => { announcer()?.recordList(position) },
      announceChanges: (from, to, changes) => { announcer()?.announceChanges(from, to, changes) },
      requestState: async ip => await peers.readState(ip),
      onFailure
    })
    this.follower = follower
    return { close: async () => { follower.close() }, dump: () => ({ inTouch: follower.isStoreReachable, reads: election.state, position: follower.knownPosition }) }
  }

  /** Handles the report of the node at `ip` that a version of the configuration is active on it. */
  receiveVersion (ip: string, failureDomain: string, version: number): void {
    this.configurationFetcher.receiveVersion(ip, failureDomain === this.options.failureDomain, version)
  }

  /** Handles the notice of the reader at `ip`. */
  receiveReaderNotice (ip: string, { state, failureDomain, era, revision, configurationVersion }: ReaderNotice): void {
    this.election.receiveNotice(ip, state, failureDomain)
    if (state === 'reading') this.options.state.directory.recordListResponse()
    const sameDomain = failureDomain === this.options.failureDomain
    this.follower?.receivePosition(ip, sameDomain || !this.election.hasReaderInDomain, { era, revision })
    this.configurationFetcher.receiveVersion(ip, sameDomain, configurationVersion)
  }

  /** Handles the changes that the reader at `ip` has announced. */
  receiveChanges (ip: string, notice: ChangesNotice): void {
    this.follower?.receiveChanges(ip, this.options.state.isSameDomain(ip) || !this.election.hasReaderInDomain, notice)
  }

  private createElection (): ReaderElection {
    const { clock, random, logger, ip, failureDomain, upstream, state, announcer } = this.options
    const { directory } = state
    return ReaderElection.create({
      clock,
      random,
      logger,
      ip,
      failureDomain,
      domainCount: () => directory.locations.domainCount,
      isDiscovered: () => directory.findListedAt(upstream) !== undefined,
      domainPeers: () => state.listOtherAddresses().filter(address => state.isSameDomain(address)),
      onStateChange: () => { announcer()?.announce(this.election.state) }
    })
  }

  private createConfigurationFetcher (): ConfigurationFetcher {
    const { clock, random, logger, store, state, peers } = this.options
    return ConfigurationFetcher.create({
      clock,
      logger,
      activeVersion: () => state.configuration.version,
      delayMs: sameDomain => this.follower?.deliversConfiguration === true ? watchDeliveryMs : random.fraction() * (sameDomain ? fetchJitterMs : crossDomainFetchJitterMs),
      requestConfiguration: async ip => await peers.readConfiguration(ip),
      store,
      applyConfiguration: configuration => { state.applyStoreChanges([{ kind: 'configuration', configuration }], false) },
      requestState: async ip => await peers.readState(ip),
      applyState: shared => { state.applyShared(shared) }
    })
  }
}

interface StoreSyncOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** `IP:PORT` of the upstream on this VM. */
  readonly upstream: string
  readonly store: StoreClient
  readonly state: LocalState
  /** Reads the state and the configuration of other nodes. */
  readonly peers: Pick<Peers, 'readConfiguration' | 'readState'>
  /** Returns the present announcer; undefined before messages can be sent. */
  readonly announcer: () => Announcer | undefined
}
