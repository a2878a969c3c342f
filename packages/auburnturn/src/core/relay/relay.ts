import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Entry, Store } from '../configuration/index.js'
import { Relay as RelayService } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Logger } from '../logger/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { RelayHandlers } from './relay-handlers.js'
import type { ReplicatedState } from './relay-handlers.js'
import { ByteBudget } from './byte-budget.js'
import { coalesceDelayMs, closeFlushTimeoutMs, minFlushIntervalMs, minNoticeFlushIntervalMs } from './constants.js'
import { RelayClient } from './relay-client.js'
import { Outbox } from './outbox.js'
import type { Origin } from './outbox.js'
import { ReaderElection } from './reader-election.js'
import { AntiEntropy } from './anti-entropy.js'
import type { MemberListStore } from './member-list-store.js'
import { Broadcaster } from './broadcaster.js'
import { Topology } from './topology.js'
import type { Peer } from './topology.js'

/** What a relay is made of. */
export interface RelayOptions {
  readonly self: Peer
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly clients: ControlClients
  readonly store: Store
  readonly memberLists: MemberListStore
  readonly notices: Notices
}

/** Spreads entries, members and notices between nodes: pushes what is new, repairs what was missed. */
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
  private readonly reportedRegions = new Set<string>()
  private currentOrigin: Origin | undefined
  private applyingNotices = false
  private subscriptions: readonly Cancel[] = []
  private tasks: Array<Promise<void>> = []

  private constructor (options: RelayOptions) {
    const { self, clock, random, clients, store, memberLists: roster, notices } = options
    this.options = options
    this.currentOrigin = { root: self.id, rootDomain: self.failureDomain }
    this.topology = Topology.create({ self, clock })
    this.readerElection = ReaderElection.create({ topology: this.topology, clock })
    this.budget = ByteBudget.create({ clock })
    const { topology, readerElection: readership, budget } = this
    this.client = RelayClient.create({ clock, clients, budget, readerElection: readership, topology })
    this.broadcaster = Broadcaster.create({ clock, topology, readerElection: readership, client: this.client })
    const holdings: ReplicatedState = { replicas: [store, roster], digest: store.digest, notices, freshness: store.freshness }
    this.handlers = RelayHandlers.create({ ...holdings, clock, random, budget, applyEntries: take => { this.applyWithOrigin(undefined, take) }, applyNotices: take => { this.applyNotices(take) }, forward: (origin, entries, news) => { this.forward(origin, entries, news) }, recordReport: (sender, answeredMs) => { this.recordReport(sender, answeredMs) } })
    this.antiEntropy = AntiEntropy.create({ ...holdings, clock, random, topology, readerElection: readership, client: this.client, budget, handlers: this.handlers, applyEntries: take => { this.applyComparedEntries(take) }, applyNotices: take => { this.applyNotices(take) } })
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

  /** Starts to push and repair. */
  start (): void {
    const { self, store, memberLists: roster, notices, clock, logger } = this.options
    const { signal } = this.closing
    roster.observe((entry, changes) => {
      for (const [id, member] of changes) this.topology.setMember(id, member)
      this.queueLocal(origin => { this.outbox.addEntry(origin, entry) })
    })
    const fail = (error: Error): void => { logger.error('relay-failed', { error: String(error) }) }
    this.subscriptions = [
      subscribe(clock, store.updates, entry => { this.queueLocal(origin => { this.outbox.addEntry(origin, entry) }) }, fail),
      subscribe(clock, notices.changes, notice => { if (!this.applyingNotices) this.outbox.addNotice({ root: '', rootDomain: self.failureDomain }, notice) }, fail)
    ]
    this.tasks = [this.runPushLoop(signal), this.antiEntropy.run(signal)]
  }

  /** Asks peers in turn until one has answered; false when none did. */
  async syncWithAnyPeer (): Promise<boolean> {
    for (const peer of this.topology.comparisonPeers) {
      const rounds = this.client.messages
      await this.antiEntropy.compareWith(peer)
      if (this.client.messages > rounds && !this.readerElection.isUnresponsive(peer.id)) return true
    }
    return false
  }

  /** Bytes of all relay messages so far, both ways. */
  get totalBytes (): number {
    return this.budget.totalBytes
  }

  /** Regions that no message passes to or from. */
  get disconnectedRegionCount (): number {
    return this.client.disconnectedRegions.size
  }

  /** Sends what is waiting, such as the word that this node leaves, then ends. */
  async close (): Promise<void> {
    const { clock } = this.options
    const sent = new AbortController()
    const last = Promise.all(this.outbox.takeBatches().map(async batch => { await this.broadcaster.send(batch) })).finally(() => { sent.abort() })
    await Promise.race([last, clock.sleep(closeFlushTimeoutMs, sent.signal)])
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
      // The first news goes at once, a stream of them in few messages.
      const gapMs = this.outbox.hasEntries ? minFlushIntervalMs : minNoticeFlushIntervalMs
      await clock.sleep(Math.max(coalesceDelayMs, flushedAt + gapMs - clock.now()), signal)
      await this.budget.waitForTokens(signal)
      if (signal.aborted) return
      flushedAt = clock.now()
      // Not awaited: a child that does not answer must not hold up later news.
      for (const batch of this.outbox.takeBatches()) this.broadcaster.send(batch).catch(error => { this.options.logger.error('push-failed', { error: String(error) }) })
    }
  }

  /** Queues what entered here. What came down a tree is forwarded by itself. */
  private queueLocal (add: (origin: Origin) => void): void {
    if (this.currentOrigin !== undefined) add(this.currentOrigin)
  }

  private forward (origin: Origin, entries: readonly Entry[], news: readonly Notice[]): void {
    for (const entry of entries) this.outbox.addEntry(origin, entry)
    for (const notice of news) this.outbox.addNotice(origin, notice)
  }

  private applyWithOrigin (origin: Origin | undefined, take: () => void): void {
    const own = this.currentOrigin
    this.currentOrigin = origin
    try {
      take()
    } finally {
      this.currentOrigin = own
    }
  }

  /** Takes notices of peers; what this node itself has to tell meanwhile, such as that it has started, is its own news. */
  private applyNotices (take: () => void): void {
    this.applyingNotices = true
    try {
      take()
    } finally {
      this.applyingNotices = false
    }
  }

  /** A reader spreads what it learned from a repair; from other nodes the next repair carries it. */
  private applyComparedEntries (take: () => void): void {
    this.applyWithOrigin(this.readerElection.role === 'reader' ? this.currentOrigin : undefined, take)
  }

  private recordReport (sender: string, answeredMs: number | undefined): void {
    this.readerElection.recordAnswer(sender, answeredMs)
    const peer = this.topology.findPeer(sender)
    if (peer !== undefined) this.client.recordRegion(peer.region)
    this.reportDisconnectedRegions()
  }

  private reportDisconnectedRegions (): void {
    const { logger, metrics } = this.options
    const { disconnectedRegions: apart } = this.client
    for (const [region, ageMs] of apart) {
      if (this.reportedRegions.has(region)) continue
      this.reportedRegions.add(region)
      metrics.count('regions_apart_total', { region })
      logger.warn('region-apart', { region, ageMs: Math.round(ageMs) })
    }
    for (const region of this.reportedRegions) {
      if (apart.has(region)) continue
      this.reportedRegions.delete(region)
      logger.info('region-rejoined', { region })
    }
  }
}
