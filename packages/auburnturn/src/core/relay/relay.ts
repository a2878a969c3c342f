import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { ConfigurationStore, Entry } from '../configuration/index.js'
import { Relay as RelayService } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Logger } from '../logger/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { AntiEntropy } from './anti-entropy.js'
import { Broadcaster } from './broadcaster.js'
import { ByteBudget } from './byte-budget.js'
import { closeFlushTimeoutMs, coalesceDelayMs, minFlushIntervalMs, minNoticeFlushIntervalMs } from './constants.js'
import type { MemberListStore } from './member-list-store.js'
import { Outbox } from './outbox.js'
import type { Origin } from './outbox.js'
import { ReaderElection } from './reader-election.js'
import { RelayClient } from './relay-client.js'
import { RelayHandlers } from './relay-handlers.js'
import type { ReplicatedState } from './relay-handlers.js'
import { Topology } from './topology.js'
import type { Peer } from './topology.js'

/** Identity and dependencies of a relay. */
export interface RelayOptions {
  readonly self: Peer
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly controlClients: ControlClients
  readonly store: ConfigurationStore
  readonly memberLists: MemberListStore
  readonly notices: Notices
}

/** Replicates entries, member lists and notices between nodes: pushes new updates and repairs missed ones. */
export class Relay implements Part {
  readonly topology: Topology
  readonly readerElection: ReaderElection
  private readonly options: RelayOptions
  private readonly budget: ByteBudget
  private readonly client: RelayClient
  private readonly outbox = Outbox.create()
  private readonly broadcaster: Broadcaster
  private readonly handlers: RelayHandlers
  private readonly antiEntropy: AntiEntropy
  private readonly closing = new AbortController()
  /** Disconnected regions that were already reported. */
  private readonly reportedRegions = new Set<string>()
  /** Origin of the entries that change now; undefined while entries of peers are applied that must not be queued. */
  private currentOrigin: Origin | undefined
  private applyingNotices = false
  private subscriptions: readonly Cancel[] = []
  private tasks: Array<Promise<void>> = []

  private constructor (options: RelayOptions) {
    const { self, clock, random, controlClients, store, memberLists, notices } = options
    this.options = options
    this.currentOrigin = { root: self.id, rootDomain: self.failureDomain }
    this.topology = Topology.create({ self, clock })
    this.readerElection = ReaderElection.create({ topology: this.topology, clock })
    this.budget = ByteBudget.create({ clock })
    const { topology, readerElection, budget } = this
    this.client = RelayClient.create({ clock, controlClients, budget, readerElection, topology })
    this.broadcaster = Broadcaster.create({ clock, topology, readerElection, client: this.client })
    const replicatedState: ReplicatedState = { replicas: [store, memberLists], digest: store.digest, notices, freshness: store.freshness }
    this.handlers = RelayHandlers.create({ ...replicatedState, clock, random, budget, applyEntries: apply => { this.applyWithOrigin(undefined, apply) }, applyNotices: apply => { this.applyNotices(apply) }, forward: (origin, entries, newNotices) => { this.forward(origin, entries, newNotices) }, recordReport: (sender, answeredMs) => { this.recordReport(sender, answeredMs) } })
    this.antiEntropy = AntiEntropy.create({ ...replicatedState, clock, random, topology, readerElection, client: this.client, budget, handlers: this.handlers, applyEntries: apply => { this.applyComparedEntries(apply) }, applyNotices: apply => { this.applyNotices(apply) } })
  }

  /** The relay sends nothing before `start`. */
  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  /** Handlers for the control server. */
  readonly routes: Routes = router => {
    router.service(RelayService, {
      push: request => this.handlers.push(request),
      compare: request => this.handlers.compare(request),
      repair: request => this.handlers.repair(request)
    })
  }

  /** Starts the push loop and the anti-entropy loop. */
  start (): void {
    const { self, store, memberLists, notices, clock, logger } = this.options
    const { signal } = this.closing
    memberLists.observe((entry, changes) => {
      for (const [id, member] of changes) this.topology.setMember(id, member)
      this.queueLocal(origin => { this.outbox.addEntry(origin, entry) })
    })
    const fail = (error: Error): void => { logger.error('relay-failed', { error: String(error) }) }
    this.subscriptions = [
      subscribe(clock, store.newEntries, entry => { this.queueLocal(origin => { this.outbox.addEntry(origin, entry) }) }, fail),
      subscribe(clock, notices.changes, notice => { if (!this.applyingNotices) this.outbox.addNotice({ root: '', rootDomain: self.failureDomain }, notice) }, fail)
    ]
    this.tasks = [this.runPushLoop(signal), this.antiEntropy.run(signal)]
  }

  /** Compares with one peer after another until one has answered; false when none did. */
  async syncWithAnyPeer (): Promise<boolean> {
    for (const peer of this.topology.comparisonPeers) {
      const requestsBefore = this.client.messages
      await this.antiEntropy.compareWith(peer)
      if (this.client.messages > requestsBefore && !this.readerElection.isUnresponsive(peer.id)) return true
    }
    return false
  }

  /** Bytes of all relay messages so far, in both directions. */
  get totalBytes (): number {
    return this.budget.totalBytes
  }

  /** Number of regions without any message to or from them for `regionTimeoutMs`. */
  get disconnectedRegionCount (): number {
    return this.client.disconnectedRegions.size
  }

  /** Sends the waiting updates, such as the notice that this node is leaving, then stops. */
  async close (): Promise<void> {
    const { clock } = this.options
    const sent = new AbortController()
    const delivered = Promise.all(this.outbox.takeBatches().map(async batch => { await this.broadcaster.send(batch) })).finally(() => { sent.abort() })
    await Promise.race([delivered, clock.sleep(closeFlushTimeoutMs, sent.signal)])
    this.closing.abort()
    this.client.close()
    for (const cancel of this.subscriptions) cancel()
    await Promise.all(this.tasks)
  }

  dump (): Record<string, unknown> {
    const { role } = this.readerElection
    return {
      role,
      ...this.budget.dump(),
      messages: this.client.messages,
      rounds: this.antiEntropy.rounds,
      differences: this.antiEntropy.differences,
      peers: this.topology.domainPeers.length,
      failureDomains: this.topology.domainNames.length,
      apart: Object.fromEntries(this.client.disconnectedRegions),
      readership: this.readerElection.dump(),
      members: this.options.memberLists.dump()
    }
  }

  private async runPushLoop (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    let flushedAt = Number.NEGATIVE_INFINITY
    while (!signal.aborted) {
      await this.outbox.waitForBatches(signal)
      // The first update waits for the coalescing delay only; a stream of updates is sent in few messages.
      const gapMs = this.outbox.hasEntries ? minFlushIntervalMs : minNoticeFlushIntervalMs
      await clock.sleep(Math.max(coalesceDelayMs, flushedAt + gapMs - clock.now()), signal)
      await this.budget.waitForTokens(signal)
      if (signal.aborted) return
      flushedAt = clock.now()
      // Not awaited: a child that does not answer must not delay later updates.
      for (const batch of this.outbox.takeBatches()) this.broadcaster.send(batch).catch(error => { this.options.logger.error('push-failed', { error: String(error) }) })
    }
  }

  /** Queues an update that entered at this node. Updates received through a tree are queued by `forward`. */
  private queueLocal (add: (origin: Origin) => void): void {
    if (this.currentOrigin !== undefined) add(this.currentOrigin)
  }

  private forward (origin: Origin, entries: readonly Entry[], newNotices: readonly Notice[]): void {
    for (const entry of entries) this.outbox.addEntry(origin, entry)
    for (const notice of newNotices) this.outbox.addNotice(origin, notice)
  }

  /** Runs `apply` with `origin` as the origin of the entries it changes; they are not queued when it is undefined. */
  private applyWithOrigin (origin: Origin | undefined, apply: () => void): void {
    const previousOrigin = this.currentOrigin
    this.currentOrigin = origin
    try {
      apply()
    } finally {
      this.currentOrigin = previousOrigin
    }
  }

  /**
   * Applies notices of peers, which are not queued as this node's own. `applyWithOrigin` does not suppress notices: one that
   * this node publishes while it accepts entries, such as that it has started, is its own update.
   */
  private applyNotices (apply: () => void): void {
    this.applyingNotices = true
    try {
      apply()
    } finally {
      this.applyingNotices = false
    }
  }

  /** A reader pushes the entries that it received in a comparison; from other nodes the next comparisons carry them. */
  private applyComparedEntries (apply: () => void): void {
    this.applyWithOrigin(this.readerElection.role === 'reader' ? this.currentOrigin : undefined, apply)
  }

  private recordReport (sender: string, answeredMs: number | undefined): void {
    this.readerElection.recordAnswer(sender, answeredMs)
    const peer = this.topology.findPeer(sender)
    if (peer !== undefined) this.client.recordRegion(peer.region)
    this.reportDisconnectedRegions()
  }

  private reportDisconnectedRegions (): void {
    const { logger, metrics } = this.options
    const { disconnectedRegions } = this.client
    for (const [region, ageMs] of disconnectedRegions) {
      if (this.reportedRegions.has(region)) continue
      this.reportedRegions.add(region)
      metrics.count('regions_apart_total', { region })
      logger.warn('region-apart', { region, ageMs: Math.round(ageMs) })
    }
    for (const region of this.reportedRegions) {
      if (disconnectedRegions.has(region)) continue
      this.reportedRegions.delete(region)
      logger.info('region-rejoined', { region })
    }
  }
}
