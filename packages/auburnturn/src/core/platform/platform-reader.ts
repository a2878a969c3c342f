import type { Clock } from '../clock/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import type { Logger } from '../logger/index.js'
import type { MemberList } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Random } from '../random/index.js'
import type { Part } from '../supervisor/types.js'
import { baseBackoffMs, maxReaderBackoffMs, maxReaderBurstReads, readerIntervalMs, roleCheckIntervalMs, unresponsiveAfterMs, confirmationTimeoutMs, watchTimeoutMs, fullReadIntervalMs } from './constants.js'
import type { PlatformClient } from './platform-client.js'
import type { FollowerReadSchedule } from './follower-read-schedule.js'

/** What a reader is made of. */
export interface PlatformReaderOptions {
  readonly platform: PlatformClient
  readonly store: ConfigurationStore
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly schedule: FollowerReadSchedule
  /** Takes one member list. */
  readonly applyList: (list: MemberList) => void
  /** Whether this node is one of its failure domain's readers. */
  readonly isReader: () => boolean
  /** Whether a member list is known, from the platform or from peers. */
  readonly hasMemberList: () => boolean
}

type PageRead = (waitMs: number, signal: AbortSignal) => Promise<void>

/** Follows the platform while this node is an elected reader, and rarely when nobody else seems to. */
export class PlatformReader implements Part {
  reads = 0
  /** Whether both configuration and members were read once. */
  readonly firstReadDone: Promise<void>
  private readonly options: PlatformReaderOptions
  private readonly abortController = new AbortController()
  private readonly completedKinds = new Set<string>()
  private resolveFirstRead: () => void = () => {}
  private configurationRevision = 0
  private membersRevision = 0
  private lastFullReadAt = 0
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
    const { clock, schedule: share } = this.options
    return {
      reads: this.reads,
      revision: this.configurationRevision,
      failures: this.consecutiveFailures,
      silentMs: this.failingSince === undefined ? 0 : clock.now() - this.failingSince,
      turnMs: Math.round(share.meanIntervalMs)
    }
  }

  /** Whether this node needs no read of its own now. */
  private get isUpToDate (): boolean {
    const { store, hasMemberList: isInformed } = this.options
    return isInformed() && (store.freshness.confirmedAgeMs ?? Infinity) < confirmationTimeoutMs
  }

  private get isElected (): boolean {
    // Without a member list every node would rank first.
    return this.options.hasMemberList() && this.options.isReader()
  }

  private get backoffMs (): number {
    return Math.min(maxReaderBackoffMs, baseBackoffMs * 2 ** Math.min(this.consecutiveFailures, 10))
  }

  private async run (): Promise<void> {
    const { clock, schedule: share } = this.options
    const { signal } = this.abortController
    while (!signal.aborted) {
      if (this.isElected) await this.watchWhileElected(signal)
      else if (this.isUpToDate) await clock.sleep(roleCheckIntervalMs, signal)
      else if (share.waitMs > 0) await clock.sleep(Math.max(1, Math.min(roleCheckIntervalMs, share.waitMs)), signal)
      else await this.readOnce(signal)
    }
  }

  /** One turn of a node that is not elected. */
  private async readOnce (signal: AbortSignal): Promise<void> {
    const fine = await this.attemptRead('members', this.readMembers, 0, signal) &&
      await this.attemptRead('configuration', this.readConfiguration, 0, signal)
    this.options.schedule.scheduleNext(fine ? undefined : this.backoffMs)
  }

  /** Watches both kinds until this node is no longer elected. */
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
      // A burst of changes is read at once; a stream of them comes in pages.
      nextAt = Math.max(nextAt, clock.now() - maxReaderBurstReads * readerIntervalMs) + readerIntervalMs
      const fine = await this.attemptRead(kind, read, watchTimeoutMs, signal)
      const pauseMs = fine ? nextAt - clock.now() : this.backoffMs * (0.5 + random.fraction() / 2)
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
    const known = store.version
    const whole = this.configurationRevision === 0 || clock.now() - this.lastFullReadAt > fullReadIntervalMs
    if (whole) this.lastFullReadAt = clock.now()
    const page = await platform.readConfiguration(whole ? 0 : this.configurationRevision, waitMs, signal)
    const behindBy = Math.max(0, Math.max(known, this.configurationRevision) - page.revision)
    for (const entry of page.entries) store.accept(entry, 'platform')
    this.recordVersionsBehind(behindBy, page.revision)
    // A rolled-back service counts on from where it is: everything is offered again, and what is older is refused.
    this.configurationRevision = behindBy > 0 ? 0 : page.revision
    if (behindBy === 0) store.freshness.confirm('platform', 0)
    else await clock.sleep(watchTimeoutMs, signal)
  }

  private readonly readMembers: PageRead = async (waitMs, signal) => {
    const { platform, applyList: takeList } = this.options
    const page = await platform.readMembers(this.membersRevision, waitMs, signal)
    for (const list of page.lists) takeList(list)
    this.membersRevision = page.revision < this.membersRevision ? 0 : page.revision
  }

  private recordVersionsBehind (behindBy: number, revision: number): void {
    const { store, logger, metrics } = this.options
    const before = store.freshness.versionsBehind
    store.freshness.recordPlatformAnswer(behindBy)
    if (behindBy > 0 && before === 0) {
      metrics.count('platform_stale_total')
      logger.error('platform-stale', { revision, behindBy })
    }
    if (behindBy === 0 && before > 0) logger.info('platform-caught-up', { revision })
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
