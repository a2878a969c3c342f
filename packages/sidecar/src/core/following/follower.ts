import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import type { ChangesNotice, ReaderElection } from '../readers/index.js'
import type { Change, StoreAnswer, StoreClient } from '../store/index.js'
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
  /**
   * The first list may be a stale 'cheap' one, since a watch and the other readers deliver the later changes. They can't
   * once the store has lost its history, so the next list must be the newest.
   */
  private listMode: 'cheap' | 'newest' = 'cheap'
  private revision: number | undefined
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
    return this.revision !== undefined && this.failures === 0
  }

  /** Revision of the store up to which all changes are known; undefined before the first list. */
  get knownRevision (): number | undefined {
    return this.revision
  }

  close (): void {
    this.closed = true
    this.monitor.close()
  }

  /**
   * Handles changes from the reader at `ip`. `shortDelay` is whether missed changes are requested after the short delay: the
   * reader is in this failure domain, or no reader of this domain is known.
   */
  receiveChanges (ip: string, shortDelay: boolean, { from, to, changes }: ChangesNotice): void {
    if (this.revision === undefined || from > this.revision) return this.scheduleGapFill(ip, shortDelay, to)
    if (to <= this.revision) return
    this.revision = to
    this.announcementFilter.forget(changes)
    this.options.apply(changes, false)
  }

  /** Handles the notice that the reader at `ip` has announced all changes up to `revision`; `shortDelay` as for changes. */
  receiveRevision (ip: string, shortDelay: boolean, revision: number): void {
    if (this.revision === undefined || revision > this.revision) this.scheduleGapFill(ip, shortDelay, revision)
  }

  private async run (): Promise<void> {
    const { store, clock, election } = this.options
    while (!this.closed) {
      const known = this.revision
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

  private async watch (revision: number): Promise<StoreAnswer> {
    const { store, election } = this.options
    this.watchCancellation = Cancellation.create()
    const answer = await store.watch(revision, election.state === 'reading' ? watchMs : probeWatchMs, this.watchCancellation)
    const { aborted } = this.watchCancellation
    this.watchCancellation = undefined
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
  private applyAnswer (answer: StoreAnswer, watchedFrom: number | undefined): number {
    switch (answer.kind) {
      case 'failed':
        return this.recordFailure(answer.cause)
      case 'forgotten':
        this.options.logger.info('store-history-gone', { revision: this.revision })
        this.options.election.recordCall(true)
        this.listMode = 'newest'
        this.revision = undefined
        return 0
      case 'changes':
        this.recordSuccess()
        return watchedFrom === undefined ? this.applyList(answer.changes, answer.revision) : this.applyWatchedChanges(answer.changes, watchedFrom, answer.revision)
    }
  }

  private applyList (changes: readonly Change[], revision: number): number {
    this.listedAt = this.options.clock.now()
    // A 'cheap' list may be older than the revision that this node already has.
    if (this.revision !== undefined && revision <= this.revision) return 0
    this.revision = revision
    this.announcementFilter.forgetAll()
    this.options.apply(changes, true)
    this.options.onListed(revision)
    return 0
  }

  private applyWatchedChanges (changes: readonly Change[], watchedFrom: number, revision: number): number {
    const { random } = this.options
    this.applyUnknownChanges(changes, revision)
    const announcement = this.announcementFilter.select(changes, watchedFrom, revision)
    if (announcement !== undefined) this.options.announceChanges(announcement.from, revision, announcement.changes)
    // The random part keeps readers from pausing at the same time, which would delay changes for all nodes.
    return changes.length > 0 ? batchDelayMs * (0.75 + random.fraction() / 2) : 0
  }

  /**
   * Applies the changes of a watch that this node does not know yet. Another reader may have announced them, but no announcement
   * contains the configuration, and that reader may end before it has served it.
   */
  private applyUnknownChanges (changes: readonly Change[], revision: number): void {
    const known = this.revision !== undefined && revision <= this.revision
    const unknown = known ? changes.filter(({ kind }) => kind === 'configuration') : changes
    if (!known) this.revision = revision
    if (!known || unknown.length > 0) this.options.apply(unknown, false)
  }

  private scheduleGapFill (ip: string, shortDelay: boolean, revision: number): void {
    if (this.fillingGap || this.closed) return
    this.fillingGap = true
    this.fillGap(ip, shortDelay, revision)
      .catch((error: unknown) => { this.options.logger.warn('list-from-node-failed', { from: ip, error: String(error) }) })
      .finally(() => { this.fillingGap = false })
  }

  /** Requests the full list from the reader, unless the missing changes have arrived meanwhile. */
  private async fillGap (ip: string, shortDelay: boolean, revision: number): Promise<void> {
    const { clock, logger, requestState, apply } = this.options
    await clock.sleep(shortDelay ? gapDelayMs : crossDomainGapDelayMs)
    const known = this.revision
    if (this.closed || (known !== undefined && known >= revision)) return
    const state = await requestState(ip)
    logger.info('list-from-node', { from: ip, known, heard: revision, revision: state?.revision ?? 'none' })
    if (state?.revision === undefined || (this.revision !== undefined && state.revision <= this.revision)) return
    this.revision = state.revision
    this.announcementFilter.forgetAll()
    apply([{ kind: 'configuration', configuration: state.configuration }, ...state.targets.map((target): Change => ({ kind: 'target', target }))], true)
  }

  private recordSuccess (): void {
    this.options.election.recordCall(true)
    if (this.failures > 0) this.options.logger.info('store-recovered', { failures: this.failures })
    this.failures = 0
  }

  private recordFailure (cause: string): number {
    const { logger, random, election } = this.options
    election.recordCall(false)
    if (this.failures === 0) logger.warn('store-lost', { cause, revision: this.revision })
    this.failures++
    const backoff = Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.min(this.failures, 10))
    return backoff * (0.5 + random.fraction() / 2)
  }
}

interface FollowerOptions {
  readonly store: StoreClient
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Decides whether this node is a reader. */
  readonly election: ReaderElection
  /** Applies changes; with `fullList` they are the complete content of the store. */
  readonly apply: (changes: readonly Change[], fullList: boolean) => void
  /** Called after the full list was read at a revision. */
  readonly onListed: (revision: number) => void
  /** Announces to the other nodes all changes after `from`, up to and including `to`. */
  readonly announceChanges: (from: number, to: number, changes: readonly Change[]) => void
  /** Requests the state of the node at an address; undefined if it does not provide it. */
  readonly requestState: (ip: string) => Promise<SharedState | undefined>
  /** Called with an unexpected error, after which the follower has stopped. */
  readonly onFailure: (error: unknown) => void
}
