import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import type { ChangesNotice, ReaderElection } from '../readers/index.js'
import { electionIntervalMs, farGapDelayMs, baseBackoffMs, probeWatchMs, gapDelayMs, batchDelayMs, maxBackoffMs, relistIntervalMs, watchMs } from './constants.js'
import { AnnouncementFilter } from './announcement-filter.js'
import type { Change, SharedState, StoreClient, StoreAnswer } from './types.js'

/**
 * Follows the store: lists it once; then watches it while this node has the duty to, and takes what other readers
 * tell otherwise. Lists again when the history is gone, and asks a reader where it missed something.
 */
export class Follower {
  private readonly options: FollowerOptions
  private readonly announcementFilter = AnnouncementFilter.create()
  /** What a cheap list is behind with, the watch and the other readers bring; not so once the history was lost. */
  private listMode: 'cheap' | 'newest' = 'cheap'
  private revision: number | undefined
  private listedAt = -Infinity
  private failures = 0
  private fillingGap = false
  private closed = false

  private constructor (options: FollowerOptions) {
    this.options = options
  }

  /** Follows until it is closed. */
  static create (options: FollowerOptions): Follower {
    const follower = new Follower(options)
    follower.run().catch(options.onFailure)
    return follower
  }

  /** Whether the last call was answered. */
  get isStoreReachable (): boolean {
    return this.revision !== undefined && this.failures === 0
  }

  /** Revision of the store up to which all is known; undefined before the first list. */
  get knownRevision (): number | undefined {
    return this.revision
  }

  close (): void {
    this.closed = true
  }

  /** The reader at `ip` tells of changes. */
  receiveChanges (ip: string, near: boolean, { from, to, changes }: ChangesNotice): void {
    if (this.revision === undefined || from > this.revision) return this.scheduleGapFill(ip, near, to)
    if (to <= this.revision) return
    this.revision = to
    this.options.apply(changes, false)
  }

  /** The reader at `ip` has told of all changes up to `revision`. */
  receiveRevision (ip: string, near: boolean, revision: number): void {
    if (this.revision === undefined || revision > this.revision) this.scheduleGapFill(ip, near, revision)
  }

  private async run (): Promise<void> {
    const { store: source, clock, election: duty } = this.options
    while (!this.closed) {
      const known = this.revision
      const onDuty = duty.update()
      if (known !== undefined && !onDuty && !this.isRelistDue()) {
        await clock.sleep(electionIntervalMs)
        continue
      }
      const asked = onDuty ? known : undefined
      const answer = asked === undefined ? await source.list(known === undefined ? this.listMode : 'cheap') : await source.watch(asked, duty.state === 'reading' ? watchMs : probeWatchMs)
      if (this.closed) return
      const pauseMs = this.applyAnswer(answer, asked)
      if (pauseMs > 0) await clock.sleep(pauseMs)
    }
  }

  /** Whether nobody tells this node of changes, so that it has to look for itself now and then. */
  private isRelistDue (): boolean {
    const { clock, election: duty } = this.options
    return duty.awaitsDiscovery && clock.now() - this.listedAt >= relistIntervalMs
  }

  /** Applies an answer; the pause to make after it, in milliseconds. */
  private applyAnswer (answer: StoreAnswer, asked: number | undefined): number {
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
        return asked === undefined ? this.applyList(answer.changes, answer.revision) : this.applyWatchedChanges(answer.changes, asked, answer.revision)
    }
  }

  private applyList (changes: readonly Change[], revision: number): number {
    this.listedAt = this.options.clock.now()
    // A cheap list may be older than what is known.
    if (this.revision !== undefined && revision <= this.revision) return 0
    this.revision = revision
    this.options.apply(changes, true)
    this.options.onListed(revision)
    return 0
  }

  private applyWatchedChanges (changes: readonly Change[], asked: number, revision: number): number {
    const { random } = this.options
    // Other readers may have been quicker.
    if (this.revision !== undefined && revision > this.revision) {
      this.revision = revision
      this.options.apply(changes, false)
    }
    const news = this.announcementFilter.select(changes, asked, revision)
    if (news !== undefined) this.options.announceChanges(news.from, revision, news.changes)
    // Readers that watch in step would all be blind at the same time.
    return changes.length > 0 ? batchDelayMs * (0.75 + random.fraction() / 2) : 0
  }

  private scheduleGapFill (ip: string, near: boolean, revision: number): void {
    if (this.fillingGap || this.closed) return
    this.fillingGap = true
    this.fillGap(ip, near, revision)
      .catch((error: unknown) => { this.options.logger.warn('list-from-node-failed', { from: ip, error: String(error) }) })
      .finally(() => { this.fillingGap = false })
  }

  /** Asks the reader for the whole list, unless the missing changes have come. */
  private async fillGap (ip: string, near: boolean, revision: number): Promise<void> {
    const { clock, logger, requestState: ask, apply } = this.options
    await clock.sleep(near ? gapDelayMs : farGapDelayMs)
    const known = this.revision
    if (this.closed || (known !== undefined && known >= revision)) return
    const state = await ask(ip)
    logger.info('list-from-node', { from: ip, known, heard: revision, revision: state?.revision ?? 'none' })
    if (state?.revision === undefined || (this.revision !== undefined && state.revision <= this.revision)) return
    this.revision = state.revision
    apply([{ kind: 'configuration', configuration: state.configuration }, ...state.targets.map((target): Change => ({ kind: 'target', target }))], true)
  }

  private recordSuccess (): void {
    this.options.election.recordCall(true)
    if (this.failures > 0) this.options.logger.info('store-recovered', { failures: this.failures })
    this.failures = 0
  }

  private recordFailure (cause: string): number {
    const { logger, random, election: duty } = this.options
    duty.recordCall(false)
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
  /** Whether this node reads for others. */
  readonly election: ReaderElection
  /** Takes changes; `whole` when they are all that the store holds. */
  readonly apply: (changes: readonly Change[], whole: boolean) => void
  /** The whole list was read at a revision. */
  readonly onListed: (revision: number) => void
  /** Tells the other nodes all that changed behind `from`, up to `to`. */
  readonly announceChanges: (from: number, to: number, changes: readonly Change[]) => void
  /** Asks the node at an address for all that it knows; undefined when it does not tell. */
  readonly requestState: (ip: string) => Promise<SharedState | undefined>
  /** Called when following can't go on. */
  readonly onFailure: (error: unknown) => void
}
