import type { Clock } from '../clock/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import type { Logger } from '../logger/index.js'
import type { MemberList } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { baseBackoffMs, confirmationTimeoutMs, fullReadIntervalMs, maxReaderBackoffMs, maxReaderBurstReads, readerIntervalMs, roleCheckIntervalMs, unresponsiveAfterMs, watchTimeoutMs } from './constants.js'
import type { FollowerReadSchedule } from './follower-read-schedule.js'
import type { PlatformClient } from './platform-client.js'

/** Dependencies of a platform reader. */
export interface PlatformReaderOptions {
  readonly platform: PlatformClient
  readonly store: ConfigurationStore
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly schedule: FollowerReadSchedule
  /** Called with each member list that was read; returns whether it was new. */
  readonly applyList: (list: MemberList) => boolean
  /** Whether this node is an elected reader of its failure domain. */
  readonly isReader: () => boolean
  /** Whether this node has received a member list, from the platform or from peers. */
  readonly hasMemberList: () => boolean
}

/** Reads one page and applies it. The platform may hold the request open for up to `waitMs`. */
type PageRead = (waitMs: number, signal: AbortSignal) => Promise<void>

/**
 * Watches the platform while this node is an elected reader. A node that is not elected reads only while it has no
 * member list or its configuration was not confirmed recently, and then on the follower schedule.
 */
export class PlatformReader implements Part {
  /** Number of reads attempted. */
  reads = 0
  /** Resolves when both configuration and members were read once. */
  readonly firstReadDone: Promise<void>
  private readonly options: PlatformReaderOptions
  private readonly abortController = new AbortController()
  private readonly completedKinds = new Set<string>()
  private resolveFirstRead: () => void = () => {}
  private configurationRevision = 0
  private membersRevision = 0
  private lastFullReadAt = 0
  /** Highest revision at which entries or lists that can't be used were logged, by kind of read. */
  private readonly leftOutRevisions = new Map<string, number>()
  private consecutiveFailures = 0
  private failingSince: number | undefined
  private outageReported = false
  private tasks: Array<Promise<void>> = []

  private constructor (options: PlatformReaderOptions) {
    this.options = options
    this.firstReadDone = new Promise(resolve => { this.resolveFirstRead = resolve })
  }

  static create (options: PlatformReaderOptions): PlatformReader {
    const reader = new PlatformReader(options)
    reader.tasks = [reader.run()]
    return reader
  }

  async close (): Promise<void> {
    this.abortController.abort()
    await Promise.all(this.tasks)
  }

  dump (): unknown {
    const { clock, schedule } = this.options
    return {
      reads: this.reads,
      revision: this.configurationRevision,
      failures: this.consecutiveFailures,
      silentMs: this.failingSince === undefined ? 0 : clock.now() - this.failingSince,
      turnMs: Math.round(schedule.meanIntervalMs)
    }
  }

  /** Whether this node needs no read of its own: it has a member list, and its configuration was confirmed recently. */
  private get isUpToDate (): boolean {
    const { store, hasMemberList } = this.options
    return hasMemberList() && (store.freshness.confirmedAgeMs ?? Infinity) < confirmationTimeoutMs
  }

  private get isElected (): boolean {
    // Without a member list, a node has no other candidates and would elect itself.
    return this.options.hasMemberList() && this.options.isReader()
  }

  private get backoffMs (): number {
    return Math.min(maxReaderBackoffMs, baseBackoffMs * 2 ** Math.min(this.consecutiveFailures, 10))
  }

  private async run (): Promise<void> {
    const { clock, schedule } = this.options
    const { signal } = this.abortController
    while (!signal.aborted) {
      if (this.isElected) await this.watchWhileElected(signal)
      else if (this.isUpToDate) await clock.sleep(roleCheckIntervalMs, signal)
      else if (schedule.waitMs > 0) await clock.sleep(Math.max(1, Math.min(roleCheckIntervalMs, schedule.waitMs)), signal)
      else await this.readOnce(signal)
    }
  }

  /** One round of reads of a node that is not elected. */
  private async readOnce (signal: AbortSignal): Promise<void> {
    const succeeded = await this.attemptRead('members', this.readMembers, 0, signal) &&
      await this.attemptRead('configuration', this.readConfiguration, 0, signal)
    this.options.schedule.scheduleNext(succeeded ? undefined : this.backoffMs)
  }

  /** Watches configuration and members until this node is no longer elected. */
  private async watchWhileElected (signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.watchKind('members', this.readMembers, signal),
      this.watchKind('configuration', this.readConfiguration, signal)
    ])
  }

  private async watchKind (kind: string, read: PageRead, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    let nextAt = clock.now()
    while (this.isElected && !signal.aborted) {
      // A burst of changes is read immediately. In a continuous stream of changes, each read returns a page of several.
      nextAt = Math.max(nextAt, clock.now() - maxReaderBurstReads * readerIntervalMs) + readerIntervalMs
      const succeeded = await this.attemptRead(kind, read, watchTimeoutMs, signal)
      const pauseMs = succeeded ? nextAt - clock.now() : this.backoffMs * (0.5 + random.fraction() / 2)
      if (pauseMs > 0 && !signal.aborted) await clock.sleep(pauseMs, signal)
    }
  }

  private async attemptRead (kind: string, read: PageRead, waitMs: number, signal: AbortSignal): Promise<boolean> {
    this.reads++
    this.options.metrics.count('platform_reads_total', { kind })
    try {
      await read(waitMs, signal)
      this.recordSuccess(kind)
      return true
    } catch (error) {
      if (!signal.aborted) this.recordFailure(kind, error)
      return false
    }
  }

  private readonly readConfiguration: PageRead = async (waitMs, signal) => {
    const { platform, store, clock } = this.options
    const storedVersion = store.version
    const isFullRead = this.configurationRevision === 0 || clock.now() - this.lastFullReadAt > fullReadIntervalMs
    if (isFullRead) this.lastFullReadAt = clock.now()
    const page = await platform.readConfiguration(isFullRead ? 0 : this.configurationRevision, waitMs, signal)
    const versionsBehind = Math.max(0, Math.max(storedVersion, this.configurationRevision) - page.revision)
    for (const entry of page.entries) store.accept(entry, 'platform')
    this.logLeftOut('configuration', page.revision, page.leftOut)
    this.recordVersionsBehind(versionsBehind, page.revision)
    // A rolled-back platform continues from its older revision. All entries are read again, and the store rejects older ones.
    this.configurationRevision = versionsBehind > 0 ? 0 : page.revision
    if (versionsBehind === 0) store.freshness.confirm('platform', 0)
    else await clock.sleep(watchTimeoutMs, signal)
  }

  private readonly readMembers: PageRead = async (waitMs, signal) => {
    const { platform, applyList } = this.options
    const page = await platform.readMembers(this.membersRevision, waitMs, signal)
    for (const list of page.lists) {
      const isNew = applyList(list)
      if (isNew && list.leftOut > 0) this.options.logger.warn('members-left-out', { service: list.service, version: list.version, count: list.leftOut })
    }
    this.logLeftOut('members', page.revision, page.leftOut)
    this.membersRevision = page.revision < this.membersRevision ? 0 : page.revision
  }

  /** Logs once how many entries or lists of a page can't be used; they come again when all are read again. */
  private logLeftOut (kind: string, revision: number, count: number): void {
    const previous = this.leftOutRevisions.get(kind) ?? -1
    if (count === 0 || revision <= previous) return
    this.leftOutRevisions.set(kind, revision)
    this.options.logger.warn('entries-left-out', { kind, revision, count })
  }

  private recordVersionsBehind (behindBy: number, revision: number): void {
    const { store, logger, metrics } = this.options
    const previous = store.freshness.versionsBehind
    store.freshness.recordPlatformAnswer(behindBy)
    if (behindBy > 0 && previous === 0) {
      metrics.count('platform_stale_total')
      logger.error('platform-stale', { revision, behindBy })
    }
    if (behindBy === 0 && previous > 0) logger.info('platform-caught-up', { revision })
  }

  private recordSuccess (kind: string): void {
    if (this.outageReported) this.options.logger.info('platform-answers', { silentMs: Math.round(this.options.clock.now() - (this.failingSince ?? 0)) })
    this.consecutiveFailures = 0
    this.failingSince = undefined
    this.outageReported = false
    this.completedKinds.add(kind)
    if (this.completedKinds.size === 2) this.resolveFirstRead()
  }

  private recordFailure (kind: string, error: unknown): void {
    const { clock, logger, metrics } = this.options
    this.consecutiveFailures++
    this.failingSince ??= clock.now()
    metrics.count('platform_read_failures_total', { kind })
    logger.debug('platform-read-failed', { kind, error: String(error) })
    if (this.outageReported || clock.now() - this.failingSince < unresponsiveAfterMs) return
    this.outageReported = true
    logger.warn('platform-silent', { silentMs: Math.round(clock.now() - this.failingSince), error: String(error) })
  }
}
