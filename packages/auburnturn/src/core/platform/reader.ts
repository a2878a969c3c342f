import type { Clock } from '../clock/index.js'
import type { Store } from '../configuration/index.js'
import type { Logger } from '../logger/index.js'
import type { MemberList } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { firstBackoffMs, maxBackoffMs, readerBurst, readerPauseMs, roleCheckMs, silentMs, unconfirmedMs, watchMs, wholeReadMs } from './constants.js'
import type { Platform } from './platform.js'
import type { ReadShare } from './read-share.js'

/** What a reader is made of. */
export interface PlatformReaderOptions {
  readonly platform: Platform
  readonly store: Store
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly share: ReadShare
  /** Takes one member list. */
  readonly takeList: (list: MemberList) => void
  /** Whether this node is one of its failure domain's readers. */
  readonly isReader: () => boolean
  /** Whether a member list is known, from the platform or from peers. */
  readonly isInformed: () => boolean
}

type Read = (waitMs: number, signal: AbortSignal) => Promise<void>

/** Follows the platform while this node is an elected reader, and rarely when nobody else seems to. */
export class PlatformReader implements Part {
  reads = 0
  /** Whether both configuration and members were read once. */
  readonly firstRead: Promise<void>
  private readonly options: PlatformReaderOptions
  private readonly closing = new AbortController()
  private readonly done = new Set<string>()
  private resolveFirst: () => void = () => {}
  private revision = 0
  private membersRevision = 0
  private wholeAt = 0
  private failures = 0
  private silentSince: number | undefined
  private reported = false
  private tasks: Array<Promise<void>> = []

  private constructor (options: PlatformReaderOptions) {
    this.options = options
    this.firstRead = new Promise(resolve => { this.resolveFirst = resolve })
  }

  static create (options: PlatformReaderOptions): PlatformReader {
    const reader = new PlatformReader(options)
    reader.tasks = [reader.run()]
    return reader
  }

  async close (): Promise<void> {
    this.closing.abort()
    await Promise.all(this.tasks)
  }

  dump (): unknown {
    const { clock, share } = this.options
    return {
      reads: this.reads,
      revision: this.revision,
      failures: this.failures,
      silentMs: this.silentSince === undefined ? 0 : clock.now() - this.silentSince,
      turnMs: Math.round(share.turnMs)
    }
  }

  /** Whether this node needs no read of its own now. */
  private get isServed (): boolean {
    const { store, isInformed } = this.options
    return isInformed() && (store.freshness.confirmedMs ?? Infinity) < unconfirmedMs
  }

  private get isElected (): boolean {
    // Without a member list every node would rank first.
    return this.options.isInformed() && this.options.isReader()
  }

  private get backoffMs (): number {
    return Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(this.failures, 10))
  }

  private async run (): Promise<void> {
    const { clock, share } = this.options
    const { signal } = this.closing
    while (!signal.aborted) {
      if (this.isElected) await this.watch(signal)
      else if (this.isServed) await clock.sleep(roleCheckMs, signal)
      else if (share.waitMs > 0) await clock.sleep(Math.max(1, Math.min(roleCheckMs, share.waitMs)), signal)
      else await this.readOnce(signal)
    }
  }

  /** One turn of a node that is not elected. */
  private async readOnce (signal: AbortSignal): Promise<void> {
    const fine = await this.attempt('members', this.readMembers, 0, signal) &&
      await this.attempt('configuration', this.readConfiguration, 0, signal)
    this.options.share.take(fine ? undefined : this.backoffMs)
  }

  /** Watches both kinds until this node is no longer elected. */
  private async watch (signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.watchOne('members', this.readMembers, signal),
      this.watchOne('configuration', this.readConfiguration, signal)
    ])
  }

  private async watchOne (kind: string, read: Read, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    let nextAt = clock.now()
    while (this.isElected && !signal.aborted) {
      // A burst of changes is read at once; a stream of them comes in pages.
      nextAt = Math.max(nextAt, clock.now() - readerBurst * readerPauseMs) + readerPauseMs
      const fine = await this.attempt(kind, read, watchMs, signal)
      const pauseMs = fine ? nextAt - clock.now() : this.backoffMs * (0.5 + random.fraction() / 2)
      if (pauseMs > 0 && !signal.aborted) await clock.sleep(pauseMs, signal)
    }
  }

  private async attempt (kind: string, read: Read, waitMs: number, signal: AbortSignal): Promise<boolean> {
    this.reads++
    this.options.metrics.count('platform_reads_total', { kind })
    try {
      await read(waitMs, signal)
      this.noteSuccess(kind)
      return true
    } catch (error) {
      if (!signal.aborted) this.noteFailure(kind, error)
      return false
    }
  }

  private readonly readConfiguration: Read = async (waitMs, signal) => {
    const { platform, store, clock } = this.options
    const known = store.version
    const whole = this.revision === 0 || clock.now() - this.wholeAt > wholeReadMs
    if (whole) this.wholeAt = clock.now()
    const page = await platform.readConfiguration(whole ? 0 : this.revision, waitMs, signal)
    const behindBy = Math.max(0, Math.max(known, this.revision) - page.revision)
    for (const entry of page.entries) store.accept(entry, 'platform')
    this.noteBehind(behindBy, page.revision)
    // A rolled-back service counts on from where it is: everything is offered again, and what is older is refused.
    this.revision = behindBy > 0 ? 0 : page.revision
    if (behindBy === 0) store.freshness.confirm('platform', 0)
    else await clock.sleep(watchMs, signal)
  }

  private readonly readMembers: Read = async (waitMs, signal) => {
    const { platform, takeList } = this.options
    const page = await platform.readMembers(this.membersRevision, waitMs, signal)
    for (const list of page.lists) takeList(list)
    this.membersRevision = page.revision < this.membersRevision ? 0 : page.revision
  }

  private noteBehind (behindBy: number, revision: number): void {
    const { store, logger, metrics } = this.options
    const before = store.freshness.behindBy
    store.freshness.noteAnswer(behindBy)
    if (behindBy > 0 && before === 0) {
      metrics.count('platform_stale_total')
      logger.error('platform-stale', { revision, behindBy })
    }
    if (behindBy === 0 && before > 0) logger.info('platform-caught-up', { revision })
  }

  private noteSuccess (kind: string): void {
    if (this.reported) this.options.logger.info('platform-answers', { silentMs: Math.round(this.options.clock.now() - (this.silentSince ?? 0)) })
    this.failures = 0
    this.silentSince = undefined
    this.reported = false
    this.done.add(kind)
    if (this.done.size === 2) this.resolveFirst()
  }

  private noteFailure (kind: string, error: unknown): void {
    const { clock, logger, metrics } = this.options
    this.failures++
    this.silentSince ??= clock.now()
    metrics.count('platform_read_failures_total', { kind })
    logger.debug('platform-read-failed', { kind, error: String(error) })
    if (this.reported || clock.now() - this.silentSince < silentMs) return
    this.reported = true
    logger.warn('platform-silent', { silentMs: Math.round(clock.now() - this.silentSince), error: String(error) })
  }
}
