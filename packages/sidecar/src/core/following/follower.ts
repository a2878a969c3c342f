import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import type { ChangesNotice, ReaderElection } from '../readers/index.js'
import { isLater } from '../store/index.js'
import type { Change, StoreAnswer, StoreClient, StorePosition } from '../store/index.js'
import { baseBackoffMs, batchDelayMs, electionIntervalMs, crossDomainGapDelayMs, gapDelayMs, maxBackoffMs, probeWatchMs, relistIntervalMs, watchMs } from './constants.js'
import { AnnouncementFilter } from './announcement-filter.js'
import { StoreMonitor } from './store-monitor.js'
import type { SharedState } from './types.js'

/**
 * Keeps this node up to date with the store. Lists it once, then watches it while this node is a reader, and applies
 * the notices of other readers otherwise. Lists again when the store has lost its history, and requests the full list
 * from a reader when changes were missed.
 */
export class Follower {
  private readonly options: FollowerOptions
  private readonly announcementFilter = AnnouncementFilter.create()
  private readonly monitor: StoreMonitor
  /** Cancels the watch in flight. */
  private watchCancellation: Cancellation | undefined
  /** Whether another reader has told changes between two watches: the later watch begins behind them. */
  private toldBetweenWatches = false
  /**
   * The first list may be a stale 'cheap' one, since a watch and the other readers deliver the later changes. They can't
   * once the store has lost its history, so the next list must be the newest.
   */
  private listMode: 'cheap' | 'newest' = 'cheap'
  /** Up to which all changes are known. */
  private position: StorePosition | undefined
  /** Newest era that is known; content of an earlier one is not used. */
  private era = 0
  /** Era of the content that was applied last; undefined before the first. */
  private contentEra: number | undefined
  private listedAt = -Infinity
  private failures = 0
  private fillingGap = false
  private closed = false

  private constructor (options: FollowerOptions) {
    const { clock, store, election, onFailure } = options
    this.options = options
    this.monitor = StoreMonitor.create({ clock, store, isReading: () => election.state === 'reading', onUnanswered: () => { this.handleUnansweredCheck() }, onFailure })
  }

  /** Creates a follower that runs until it is closed. */
  static create (options: FollowerOptions): Follower {
    const follower = new Follower(options)
    follower.run().catch(options.onFailure)
    return follower
  }

  /** Whether the content of the store is known and the last call was answered. */
  get isStoreReachable (): boolean {
    return this.position !== undefined && this.failures === 0
  }

  /** Position in the store up to which all changes are known; undefined before the first list. */
  get knownPosition (): StorePosition | undefined {
    return this.position
  }

  /**
   * Whether the watch in flight delivers a configuration that another node has just announced. Notices of other readers contain none, and a
   * watch that begins behind them does not either.
   */
  get deliversConfiguration (): boolean {
    return this.watchCancellation !== undefined && !this.toldBetweenWatches
  }

  close (): void {
    this.closed = true
    this.monitor.close()
  }

  /**
   * Handles changes from the reader at `ip`. `shortDelay` is whether missed changes are requested after the short delay: the
   * reader is in this failure domain, or no reader of this domain is known.
   */
  receiveChanges (ip: string, shortDelay: boolean, { era, from, to, changes }: ChangesNotice): void {
    const end = { era, revision: to }
    if (this.isOutdated(end)) return
    if (this.position === undefined || isLater({ era, revision: from }, this.position)) return this.scheduleGapFill(ip, shortDelay, end)
    this.position = end
    if (this.watchCancellation === undefined) this.toldBetweenWatches = true
    this.announcementFilter.forget(changes)
    this.options.apply(changes, false, false)
  }

  /** Handles the notice that the reader at `ip` has announced all changes up to a position; `shortDelay` as for changes. */
  receivePosition (ip: string, shortDelay: boolean, position: StorePosition): void {
    if (!this.isOutdated(position)) this.scheduleGapFill(ip, shortDelay, position)
  }

  private async run (): Promise<void> {
    const { store, clock, election } = this.options
    while (!this.closed) {
      const known = this.position
      const isReader = election.update()
      if (known !== undefined && !isReader && !this.isRelistDue()) {
        await clock.sleep(electionIntervalMs)
        continue
      }
      const watchedFrom = isReader ? known : undefined
      const answer = watchedFrom === undefined ? await store.list(known === undefined ? this.listMode : 'cheap') : await this.watch(watchedFrom)
      if (this.closed) return
      const pauseMs = this.applyAnswer(answer, watchedFrom)
      if (pauseMs > 0) await clock.sleep(pauseMs)
    }
  }

  private async watch (after: StorePosition): Promise<StoreAnswer> {
    const { store, election } = this.options
    this.watchCancellation = Cancellation.create()
    const answer = await store.watch(after, election.state === 'reading' ? watchMs : probeWatchMs, this.watchCancellation)
    const { aborted } = this.watchCancellation
    this.watchCancellation = undefined
    this.toldBetweenWatches = false
    return aborted && answer.kind === 'failed' ? { kind: 'failed', cause: 'check' } : answer
  }

  /** Ends the watch in flight, which then counts as failed; between watches, records the failure itself. */
  private handleUnansweredCheck (): void {
    if (this.watchCancellation === undefined) this.recordFailure('check')
    else this.watchCancellation.abort()
  }

  /** Whether this node has to list the store again, since too few readers announce changes to it. */
  private isRelistDue (): boolean {
    const { clock, election } = this.options
    return election.awaitsDiscovery && clock.now() - this.listedAt >= relistIntervalMs
  }

  /** Applies an answer of the store; returns the pause before the next call, in milliseconds. */
  private applyAnswer (answer: StoreAnswer, watchedFrom: StorePosition | undefined): number {
    switch (answer.kind) {
      case 'failed':
        return this.recordFailure(answer.cause)
      case 'forgotten':
        this.options.logger.info('store-history-gone', { ...this.position, newEra: answer.era })
        this.options.election.recordCall(true)
        this.listMode = 'newest'
        this.position = undefined
        this.era = Math.max(this.era, answer.era)
        return 0
      case 'changes':
        this.recordSuccess()
        return watchedFrom === undefined ? this.applyList(answer.changes, answer) : this.applyWatchedChanges(answer.changes, watchedFrom, answer)
    }
  }

  private applyList (changes: readonly Change[], position: StorePosition): number {
    this.listedAt = this.options.clock.now()
    // A 'cheap' list may be older than what this node already has.
    if (this.isOutdated(position)) return 0
    this.replaceContent(changes, position)
    this.options.onListed({ era: position.era, revision: position.revision })
    return 0
  }

  /** Replaces all that is known by the content of the store at a position. */
  private replaceContent (changes: readonly Change[], { era, revision }: StorePosition): void {
    const restored = this.contentEra !== undefined && era > this.contentEra
    this.position = { era, revision }
    this.era = era
    this.contentEra = era
    this.announcementFilter.forgetAll()
    this.options.apply(changes, true, restored)
  }

  /** Whether a position tells nothing new. */
  private isOutdated (position: StorePosition): boolean {
    return position.era < this.era || !isLater(position, this.position)
  }

  private applyWatchedChanges (changes: readonly Change[], watchedFrom: StorePosition, { era, revision }: StorePosition): number {
    const { random } = this.options
    this.applyUnknownChanges(changes, { era, revision })
    const announcement = this.announcementFilter.select(changes, watchedFrom.revision, revision)
    if (announcement !== undefined) this.options.announceChanges(announcement.from, { era, revision }, announcement.changes)
    // The random part keeps readers from pausing at the same time, which would delay changes for all nodes.
    return changes.length > 0 ? batchDelayMs * (0.75 + random.fraction() / 2) : 0
  }

  /**
   * Applies the changes of a watch that this node does not know yet. Another reader may have announced them, but no announcement
   * contains the configuration, and that reader may end before it has served it.
   */
  private applyUnknownChanges (changes: readonly Change[], position: StorePosition): void {
    const known = this.isOutdated(position)
    const unknown = known ? changes.filter(({ kind }) => kind === 'configuration') : changes
    if (!known) this.position = position
    if (!known || unknown.length > 0) this.options.apply(unknown, false, false)
  }

  private scheduleGapFill (ip: string, shortDelay: boolean, heard: StorePosition): void {
    if (this.fillingGap || this.closed) return
    this.fillingGap = true
    this.fillGap(ip, shortDelay, heard)
      .catch((error: unknown) => { this.options.logger.warn('list-from-node-failed', { from: ip, error: String(error) }) })
      .finally(() => { this.fillingGap = false })
  }

  /** Requests the full list from the reader, unless the missing changes have arrived meanwhile. */
  private async fillGap (ip: string, shortDelay: boolean, heard: StorePosition): Promise<void> {
    const { clock, logger, requestState } = this.options
    await clock.sleep(shortDelay ? gapDelayMs : crossDomainGapDelayMs)
    const known = this.position
    if (this.closed || this.isOutdated(heard)) return
    const state = await requestState(ip)
    logger.info('list-from-node', { from: ip, known: formatPosition(known), heard: formatPosition(heard), revision: formatPosition(state?.position) })
    if (state?.position === undefined || this.isOutdated(state.position)) return
    this.replaceContent([{ kind: 'configuration', configuration: state.configuration }, ...state.targets.map((target): Change => ({ kind: 'target', target }))], state.position)
  }

  private recordSuccess (): void {
    this.options.election.recordCall(true)
    if (this.failures > 0) this.options.logger.info('store-recovered', { failures: this.failures })
    this.failures = 0
  }

  private recordFailure (cause: string): number {
    const { logger, random, election } = this.options
    election.recordCall(false)
    if (this.failures === 0) logger.warn('store-lost', { cause, position: formatPosition(this.position) })
    this.failures++
    const backoff = Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.min(this.failures, 10))
    return backoff * (0.5 + random.fraction() / 2)
  }
}

/** Formats a position for a log line. */
function formatPosition (position: StorePosition | undefined): string {
  return position === undefined ? 'none' : `${position.era}/${position.revision}`
}

interface FollowerOptions {
  readonly store: StoreClient
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Decides whether this node is a reader. */
  readonly election: ReaderElection
  /**
   * Applies changes; with `fullList` they are the complete content of the store, and with `restored` the first one of an era that began
   * with an earlier copy.
   */
  readonly apply: (changes: readonly Change[], fullList: boolean, restored: boolean) => void
  /** Called after the full list was read at a position. */
  readonly onListed: (position: StorePosition) => void
  /** Announces to the other nodes all changes after the revision `from` of an era, up to and including `to`. */
  readonly announceChanges: (from: number, to: StorePosition, changes: readonly Change[]) => void
  /** Requests the state of the node at an address; undefined if it does not provide it. */
  readonly requestState: (ip: string) => Promise<SharedState | undefined>
  /** Called with an unexpected error, after which the follower has stopped. */
  readonly onFailure: (error: unknown) => void
}
