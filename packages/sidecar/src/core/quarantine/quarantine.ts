import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { chooseTreatment } from 'auburnturn/core/quarantine'
import { AnsweredRequests } from './answered-requests.js'
import { convictionGrowth, convictionMs, crashSettlingMs, maxCrashes, maxCrashRecords } from './constants.js'
import { CrashRecords } from './crash-records.js'
import type { CrashOfRequest } from './crash-records.js'
import type { CrashRecord, DetectedCrash, Treatment } from './types.js'

/**
 * Decides how requests may run under which targets of the own service have crashed. Every request in flight at a crash becomes a
 * suspect until a target answers it. A suspect runs alone, and is refused for a time once a target has crashed under it then.
 */
export class Quarantine {
  private readonly options: QuarantineOptions
  private readonly records: CrashRecords
  private readonly answered = AnsweredRequests.create()
  /** Fingerprints of convicted requests, with the number of crashes when that was last logged. */
  private readonly convictions = new Map<string, number>()

  private constructor (options: QuarantineOptions) {
    this.options = options
    this.records = CrashRecords.create(options)
  }

  static create (options: QuarantineOptions): Quarantine {
    return new Quarantine(options)
  }

  /** Whether this node knows of any crash. */
  get hasRecords (): boolean {
    return this.records.size > 0
  }

  /** A checksum that is equal at nodes that know the same. */
  get checksum (): number {
    return this.records.computeChecksum()
  }

  /** The crashes that this node knows, the oldest first. */
  get crashes (): readonly CrashRecord[] {
    return this.records.list()
  }

  /** Decides how a request may run now. */
  decide (fingerprint: string): Treatment {
    const crashes = this.records.find(fingerprint)
    const loneCrashes = crashes.filter(({ suspect }) => suspect.alone).length
    const kind = chooseTreatment({ loneCrashes, sharedCrash: crashes.length > loneCrashes, cleared: false }, maxCrashes)
    if (kind === 'usual') return { kind }
    const now = this.options.clock.now()
    const trial: Treatment = { kind: 'alone', waitMs: Math.max(0, this.records.lastAt + crashSettlingMs - now) }
    if (kind === 'alone') return trial
    const retryAfterMs = computeConvictionEnd(crashes, loneCrashes) - now
    // A convicted request gets a trial in the end: the conviction may be wrong, or the targets may be mended.
    return retryAfterMs > 0 ? { kind, retryAfterMs } : trial
  }

  /** Records a crash of the target on this VM. */
  recordCrash ({ target, at, suspects }: DetectedCrash): void {
    const crash = { target, number: this.records.countCrashes(target), node: this.options.ip, at, suspects }
    this.receive(crash)
    this.options.onChange(crash)
  }

  /** Records a crash that another node has detected, or what it knows of one. */
  receive (crash: CrashRecord): void {
    if (this.records.merge(crash) === undefined) return
    for (const { fingerprint, alone, cleared } of crash.suspects) {
      if (!alone && !cleared && this.answered.take(fingerprint)) this.clear(fingerprint)
      else this.logConviction(fingerprint)
    }
  }

  /** Records that the target on this VM has answered a request: it is not to blame for earlier crashes. */
  recordAnswer (fingerprint: string): void {
    this.answered.add(fingerprint)
    if (this.hasRecords) this.clear(fingerprint)
  }

  dump (): unknown {
    return { crashes: this.records.list(), convicted: [...this.convictions.keys()] }
  }

  private rememberConviction (fingerprint: string, crashes: number): void {
    this.convictions.set(fingerprint, crashes)
    const [oldest] = this.convictions.keys()
    if (oldest !== undefined && this.convictions.size > maxCrashRecords) this.convictions.delete(oldest)
  }

  private clear (fingerprint: string): void {
    for (const record of this.records.clear(fingerprint)) this.options.onChange(record)
    this.convictions.delete(fingerprint)
  }

  /** Logs a conviction, and each crash that lengthens it, with the evidence. */
  private logConviction (fingerprint: string): void {
    const { clock, logger, metrics } = this.options
    const crashes = this.records.find(fingerprint)
    const decision = this.decide(fingerprint)
    if (decision.kind !== 'refused' || this.convictions.get(fingerprint) === crashes.length) return
    this.rememberConviction(fingerprint, crashes.length)
    metrics.count('requests_convicted_total')
    const evidence = crashes.map(({ crash, suspect }) => `${crash.target}/${crash.node}/${Math.round(clock.now() - crash.at)}ms/${suspect.alone ? 'alone' : 'shared'}`)
    logger.warn('request-convicted', { fingerprint, crashes: evidence.join(), refusedForMs: Math.round(decision.retryAfterMs) })
  }
}

/**
 * When a convicted request is tried again, in clock milliseconds; the crashes are in the order of time. All that it shared with others
 * count as one, as for the conviction itself.
 */
function computeConvictionEnd (crashes: readonly CrashOfRequest[], loneCrashes: number): number {
  const lastAt = crashes[crashes.length - 1]?.crash.at ?? -Infinity
  const counted = loneCrashes + (crashes.length > loneCrashes ? 1 : 0)
  return lastAt + convictionMs * convictionGrowth ** (counted - maxCrashes)
}

interface QuarantineOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Address of this VM. */
  readonly ip: string
  /** Called with each record that other nodes of the service have to learn from this one. */
  readonly onChange: (record: CrashRecord) => void
}
