import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Entry, ConfigurationStore } from '../configuration/index.js'
import { Relay as RelayService } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Logger } from '../logger/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { Answers } from './answers.js'
import type { Holdings } from './answers.js'
import { Budget } from './budget.js'
import { coalesceMs, farewellMs, flushGapMs, noticeGapMs } from './constants.js'
import { Link } from './link.js'
import { Outbox } from './outbox.js'
import type { Origin } from './outbox.js'
import { Readership } from './readership.js'
import { Repair } from './repair.js'
import type { Roster } from './roster.js'
import { Spread } from './spread.js'
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
  readonly store: ConfigurationStore
  readonly roster: Roster
  readonly notices: Notices
}

/** Spreads entries, members and notices between nodes: pushes what is new, repairs what was missed. */
export class Relay implements Part {
  readonly topology: Topology
  readonly readership: Readership
  private readonly options: RelayOptions
  private readonly budget: Budget
  private readonly link: Link
  private readonly outbox = Outbox.create()
  private readonly spread: Spread
  private readonly answers: Answers
  private readonly repair: Repair
  private readonly closing = new AbortController()
  private readonly apartRegions = new Set<string>()
  private origin: Origin | undefined
  private hushed = false
  private subscriptions: readonly Cancel[] = []
  private tasks: Array<Promise<void>> = []

  private constructor (options: RelayOptions) {
    const { self, clock, random, clients, store, roster, notices } = options
    this.options = options
    this.origin = { root: self.id, rootDomain: self.failureDomain }
    this.topology = Topology.create({ self, clock })
    this.readership = Readership.create({ topology: this.topology, clock })
    this.budget = Budget.create({ clock })
    const { topology, readership, budget } = this
    this.link = Link.create({ clock, clients, budget, readership, topology })
    this.spread = Spread.create({ clock, topology, readership, link: this.link })
    const holdings: Holdings = { replicas: [store, roster], digest: store.digest, notices, freshness: store.freshness }
    this.answers = Answers.create({ ...holdings, clock, random, budget, receive: take => { this.receive(undefined, take) }, receiveNotices: take => { this.hush(take) }, forward: (origin, entries, news) => { this.forward(origin, entries, news) }, hear: (sender, answeredMs) => { this.hear(sender, answeredMs) } })
    this.repair = Repair.create({ ...holdings, clock, random, topology, readership, link: this.link, budget, answers: this.answers, receive: take => { this.receiveRepair(take) }, receiveNotices: take => { this.hush(take) } })
  }

  /** The relay sends nothing before `start`. */
  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  /** Handlers for the control server. */
  readonly routes: Routes = router => {
    router.service(RelayService, {
      push: request => this.answers.push(request),
      compare: request => this.answers.compare(request),
      repair: request => this.answers.repair(request)
    })
  }

  /** Starts to push and repair. */
  start (): void {
    const { self, store, roster, notices, clock, logger } = this.options
    const { signal } = this.closing
    roster.observe((entry, changes) => {
      for (const [id, member] of changes) this.topology.set(id, member)
      this.queue(origin => { this.outbox.addEntry(origin, entry) })
    })
    const fail = (error: Error): void => { logger.error('relay-failed', { error: String(error) }) }
    this.subscriptions = [
      subscribe(clock, store.newEntries, entry => { this.queue(origin => { this.outbox.addEntry(origin, entry) }) }, fail),
      subscribe(clock, notices.changes, notice => { if (!this.hushed) this.outbox.addNotice({ root: '', rootDomain: self.failureDomain }, notice) }, fail)
    ]
    this.tasks = [this.pushLoop(signal), this.repair.run(signal)]
  }

  /** Asks peers in turn until one has answered; false when none did. */
  async askPeers (): Promise<boolean> {
    for (const peer of this.topology.partners) {
      const rounds = this.link.messages
      await this.repair.compareWith(peer)
      if (this.link.messages > rounds && !this.readership.isSilent(peer.id)) return true
    }
    return false
  }

  /** Bytes of all relay messages so far, both ways. */
  get totalBytes (): number {
    return this.budget.totalBytes
  }

  /** Regions that no message passes to or from. */
  get apartCount (): number {
    return this.link.apart.size
  }

  /** Sends what is waiting, such as the word that this node leaves, then ends. */
  async close (): Promise<void> {
    const { clock } = this.options
    const sent = new AbortController()
    const last = Promise.all(this.outbox.take().map(async batch => { await this.spread.send(batch) })).finally(() => { sent.abort() })
    await Promise.race([last, clock.sleep(farewellMs, sent.signal)])
    this.closing.abort()
    this.link.close()
    for (const cancel of this.subscriptions) cancel()
    await Promise.all(this.tasks)
  }

  dump (): Record<string, unknown> {
    const { role } = this.readership
    return {
      role,
      ...this.budget.dump(),
      messages: this.link.messages,
      rounds: this.repair.rounds,
      differences: this.repair.differences,
      peers: this.topology.home.length,
      failureDomains: this.topology.domainNames.length,
      apart: Object.fromEntries(this.link.apart),
      readership: this.readership.dump(),
      members: this.options.roster.dump()
    }
  }

  private async pushLoop (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    let flushedAt = Number.NEGATIVE_INFINITY
    while (!signal.aborted) {
      await this.outbox.ready(signal)
      // The first news goes at once, a stream of them in few messages.
      const gapMs = this.outbox.hasEntries ? flushGapMs : noticeGapMs
      await clock.sleep(Math.max(coalesceMs, flushedAt + gapMs - clock.now()), signal)
      await this.budget.open(signal)
      if (signal.aborted) return
      flushedAt = clock.now()
      // Not awaited: a child that does not answer must not hold up later news.
      for (const batch of this.outbox.take()) this.spread.send(batch).catch(error => { this.options.logger.error('push-failed', { error: String(error) }) })
    }
  }

  /** Queues what entered here. What came down a tree is forwarded by itself. */
  private queue (add: (origin: Origin) => void): void {
    if (this.origin !== undefined) add(this.origin)
  }

  private forward (origin: Origin, entries: readonly Entry[], news: readonly Notice[]): void {
    for (const entry of entries) this.outbox.addEntry(origin, entry)
    for (const notice of news) this.outbox.addNotice(origin, notice)
  }

  private receive (origin: Origin | undefined, take: () => void): void {
    const own = this.origin
    this.origin = origin
    try {
      take()
    } finally {
      this.origin = own
    }
  }

  /** Takes notices of peers; what this node itself has to tell meanwhile, such as that it has started, is its own news. */
  private hush (take: () => void): void {
    this.hushed = true
    try {
      take()
    } finally {
      this.hushed = false
    }
  }

  /** A reader spreads what it learned from a repair; from other nodes the next repair carries it. */
  private receiveRepair (take: () => void): void {
    this.receive(this.readership.role === 'reader' ? this.origin : undefined, take)
  }

  private hear (sender: string, answeredMs: number | undefined): void {
    this.readership.noteAnswer(sender, answeredMs)
    const peer = this.topology.find(sender)
    if (peer !== undefined) this.link.noteRegion(peer.region)
    this.reportApart()
  }

  private reportApart (): void {
    const { logger, metrics } = this.options
    const { apart } = this.link
    for (const [region, ageMs] of apart) {
      if (this.apartRegions.has(region)) continue
      this.apartRegions.add(region)
      metrics.count('regions_apart_total', { region })
      logger.warn('region-apart', { region, ageMs: Math.round(ageMs) })
    }
    for (const region of this.apartRegions) {
      if (apart.has(region)) continue
      this.apartRegions.delete(region)
      logger.info('region-rejoined', { region })
    }
  }
}
