import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import type { ChangesNotice, ReadingDuty } from '../readers/index.js'
import { dutyCheckMs, farGapMs, firstBackoffMs, firstWatchMs, gapMs, gatherMs, maxBackoffMs, relistMs, watchMs } from './constants.js'
import { UntoldChanges } from './untold-changes.js'
import type { Change, SharedState, Source, SourceAnswer } from './types.js'

/**
 * Follows the store: lists it once; then watches it while this node has the duty to, and takes what other readers
 * tell otherwise. Lists again when the history is gone, and asks a reader where it missed something.
 */
export class Follower {
  private readonly options: FollowerOptions
  private readonly untold = UntoldChanges.create()
  /** What a cheap list is behind with, the watch and the other readers bring; not so once the history was lost. */
  private listing: 'cheap' | 'newest' = 'cheap'
  private revision: number | undefined
  private listedAt = -Infinity
  private failures = 0
  private filling = false
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
  get inTouch (): boolean {
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
  hearChanges (ip: string, near: boolean, { from, to, changes }: ChangesNotice): void {
    if (this.revision === undefined || from > this.revision) return this.noteGap(ip, near, to)
    if (to <= this.revision) return
    this.revision = to
    this.options.apply(changes, false)
  }

  /** The reader at `ip` has told of all changes up to `revision`. */
  hearRevision (ip: string, near: boolean, revision: number): void {
    if (this.revision === undefined || revision > this.revision) this.noteGap(ip, near, revision)
  }

  private async run (): Promise<void> {
    const { source, clock, duty } = this.options
    while (!this.closed) {
      const known = this.revision
      const onDuty = duty.update()
      if (known !== undefined && !onDuty && !this.isRelistDue()) {
        await clock.sleep(dutyCheckMs)
        continue
      }
      const asked = onDuty ? known : undefined
      const answer = asked === undefined ? await source.list(known === undefined ? this.listing : 'cheap') : await source.watch(asked, duty.state === 'reading' ? watchMs : firstWatchMs)
      if (this.closed) return
      const pauseMs = this.take(answer, asked)
      if (pauseMs > 0) await clock.sleep(pauseMs)
    }
  }

  /** Whether nobody tells this node of changes, so that it has to look for itself now and then. */
  private isRelistDue (): boolean {
    const { clock, duty } = this.options
    return duty.waitsToBeKnown && clock.now() - this.listedAt >= relistMs
  }

  /** Applies an answer; the pause to make after it, in milliseconds. */
  private take (answer: SourceAnswer, asked: number | undefined): number {
    switch (answer.kind) {
      case 'failed':
        return this.fail(answer.cause)
      case 'forgotten':
        this.options.logger.info('store-history-gone', { revision: this.revision })
        this.options.duty.record(true)
        this.listing = 'newest'
        this.revision = undefined
        return 0
      case 'changes':
        this.succeed()
        return asked === undefined ? this.takeList(answer.changes, answer.revision) : this.takeChanges(answer.changes, asked, answer.revision)
    }
  }

  private takeList (changes: readonly Change[], revision: number): number {
    this.listedAt = this.options.clock.now()
    // A cheap list may be older than what is known.
    if (this.revision !== undefined && revision <= this.revision) return 0
    this.revision = revision
    this.options.apply(changes, true)
    this.options.onListed(revision)
    return 0
  }

  private takeChanges (changes: readonly Change[], asked: number, revision: number): number {
    const { random } = this.options
    // Other readers may have been quicker.
    if (this.revision !== undefined && revision > this.revision) {
      this.revision = revision
      this.options.apply(changes, false)
    }
    const news = this.untold.add(changes, asked, revision)
    if (news !== undefined) this.options.share(news.from, revision, news.changes)
    // Readers that watch in step would all be blind at the same time.
    return changes.length > 0 ? gatherMs * (0.75 + random.fraction() / 2) : 0
  }

  private noteGap (ip: string, near: boolean, revision: number): void {
    if (this.filling || this.closed) return
    this.filling = true
    this.fillGap(ip, near, revision)
      .catch((error: unknown) => { this.options.logger.warn('list-from-node-failed', { from: ip, error: String(error) }) })
      .finally(() => { this.filling = false })
  }

  /** Asks the reader for the whole list, unless the missing changes have come. */
  private async fillGap (ip: string, near: boolean, revision: number): Promise<void> {
    const { clock, logger, ask, apply } = this.options
    await clock.sleep(near ? gapMs : farGapMs)
    const known = this.revision
    if (this.closed || (known !== undefined && known >= revision)) return
    const state = await ask(ip)
    logger.info('list-from-node', { from: ip, known, heard: revision, revision: state?.revision ?? 'none' })
    if (state?.revision === undefined || (this.revision !== undefined && state.revision <= this.revision)) return
    this.revision = state.revision
    apply([{ kind: 'configuration', configuration: state.configuration }, ...state.targets.map((target): Change => ({ kind: 'target', target }))], true)
  }

  private succeed (): void {
    this.options.duty.record(true)
    if (this.failures > 0) this.options.logger.info('store-regained', { failures: this.failures })
    this.failures = 0
  }

  private fail (cause: string): number {
    const { logger, random, duty } = this.options
    duty.record(false)
    if (this.failures === 0) logger.warn('store-lost', { cause, revision: this.revision })
    this.failures++
    const backoff = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(this.failures, 10))
    return backoff * (0.5 + random.fraction() / 2)
  }
}

interface FollowerOptions {
  readonly source: Source
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Whether this node reads for others. */
  readonly duty: ReadingDuty
  /** Takes changes; `whole` when they are all that the store holds. */
  readonly apply: (changes: readonly Change[], whole: boolean) => void
  /** The whole list was read at a revision. */
  readonly onListed: (revision: number) => void
  /** Tells the other nodes all that changed behind `from`, up to `to`. */
  readonly share: (from: number, to: number, changes: readonly Change[]) => void
  /** Asks the node at an address for all that it knows; undefined when it does not tell. */
  readonly ask: (ip: string) => Promise<SharedState | undefined>
  /** Called when following can't go on. */
  readonly onFailure: (error: unknown) => void
}
