import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { discoveryTimeoutMs, minReaders, maxFailingReaders, maxReaders, electionBackoffMs, servedDomainDelayMs, readerTimeoutMs, maxElectionDelayMs, electionDelayStepMs, failingReaderTimeoutMs } from './constants.js'
import type { ReaderState } from './types.js'

/** Another reader, as it was last heard. */
interface ReaderReport {
  readonly state: ReaderState
  readonly failureDomain: string
  readonly receivedAt: number
}

/**
 * Decides whether this node reads the store for all. Nobody elects anybody: a node that hears too few readers
 * becomes one after a while, the sooner the lower its address in its failure domain. Of too many, those stop that
 * share a failure domain with another one, then those with the highest addresses. Nodes that hear no others thus
 * read for themselves.
 */
export class ReaderElection {
  private readonly options: ReaderElectionOptions
  private readonly readers = new Map<string, ReaderReport>()
  private ownState: ReaderState = 'stopped'
  private stopped = false
  /** Since when readers are missing, and the share of its turn that this node waits. */
  private shortage: { readonly since: number, readonly delayFactor: number } | undefined
  private backoffUntil = -Infinity
  private failingSince: number | undefined
  private readonly createdAt: number

  private constructor (options: ReaderElectionOptions) {
    this.options = options
    this.createdAt = options.clock.now()
  }

  static create (options: ReaderElectionOptions): ReaderElection {
    return new ReaderElection(options)
  }

  get isReader (): boolean {
    return this.ownState !== 'stopped'
  }

  get state (): ReaderState {
    return this.ownState
  }

  receiveNotice (ip: string, state: ReaderState, failureDomain: string): void {
    if (state === 'stopped') this.readers.delete(ip)
    else this.readers.set(ip, { state, failureDomain, receivedAt: this.options.clock.now() })
  }

  /** Notes whether the store has answered a call of this node. */
  recordCall (answered: boolean): void {
    if (!this.isReader) return
    if (answered) this.failingSince = undefined
    else this.failingSince ??= this.options.clock.now()
    this.setState(answered ? 'reading' : 'failing')
  }

  /** Whether too few others read, and this node leaves it to them since nobody can know of it yet. */
  get awaitsDiscovery (): boolean {
    const { clock, isDiscovered: isKnown } = this.options
    return this.shortage !== undefined && !isKnown() && clock.now() - this.createdAt < discoveryTimeoutMs
  }

  /** Whether another node of this failure domain reads. */
  get hasReaderInDomain (): boolean {
    return this.findReaders(['reading'], this.options.clock.now()).some(({ failureDomain }) => failureDomain === this.options.failureDomain)
  }

  /** Takes up the duty, or leaves it; whether this node is to read now. */
  update (): boolean {
    if (this.stopped) return false
    if (this.isReader) this.maybeStopReading()
    else this.maybeStartReading()
    return this.isReader
  }

  /** Leaves the reading to others for good. */
  stop (): void {
    this.stopped = true
    if (this.isReader) this.stopReading('node leaves')
  }

  private maybeStopReading (): void {
    const { clock, domainPeers: neighbours } = this.options
    const now = clock.now()
    const spare = this.ownState === 'failing' ? this.findReaders(['reading'], now).length >= this.desiredReaders : this.countPreferred(now) >= this.desiredReaders
    if (spare) return this.stopReading('enough readers')
    if (this.failingSince === undefined || now - this.failingSince < failingReaderTimeoutMs || neighbours().length === 0) return
    this.backoffUntil = now + electionBackoffMs
    this.stopReading('no answer')
  }

  private maybeStartReading (): void {
    const { clock, random, logger } = this.options
    const now = clock.now()
    const failing = this.findReaders(['failing'], now).length
    const enough = this.findReaders(['reading', 'trying'], now).length >= this.desiredReaders || failing >= maxFailingReaders
    // Rest leaves the turn to others; where nobody has it, the store's return would go unseen.
    const resting = now < this.backoffUntil && failing > 0
    if (enough || resting) {
      this.shortage = undefined
      return
    }
    this.shortage ??= { since: now, delayFactor: (1 + random.fraction()) / 2 }
    if (now - this.shortage.since < this.electionDelayMs(now) * this.shortage.delayFactor) return
    // What this node would tell, nobody would ask it for.
    if (this.awaitsDiscovery) return
    logger.info('reading-started', { readers: this.readers.size })
    this.setState('trying')
  }

  /**
   * How long this node leaves it to others to begin, in milliseconds: to neighbours with lower addresses, and to
   * failure domains without a reader.
   */
  private electionDelayMs (now: number): number {
    const { ip, failureDomain, domainPeers: neighbours } = this.options
    const before = neighbours().filter(other => other < ip).length
    const served = this.findReaders(['reading', 'trying'], now).some(reader => reader.failureDomain === failureDomain)
    return Math.min(maxElectionDelayMs, (before + 1) * electionDelayStepMs + (served ? servedDomainDelayMs : 0))
  }

  /** Readers that go on before this one does when there are too many. */
  private countPreferred (now: number): number {
    const { ip, failureDomain } = this.options
    const own: Reader = { ip, failureDomain }
    const readers = [...this.findReaders(['reading', 'trying'], now), own]
    const placeInDomain = (one: Reader): number => readers.filter(other => other.failureDomain === one.failureDomain && other.ip < one.ip).length
    const ownPlace = placeInDomain(own)
    return readers.filter(one => {
      const place = placeInDomain(one)
      return place < ownPlace || (place === ownPlace && one.ip < ip)
    }).length
  }

  private stopReading (reason: string): void {
    this.shortage = undefined
    this.failingSince = undefined
    this.options.logger.info('reading-stopped', { reason })
    this.setState('stopped')
  }

  /** The others hear of each new state at once. */
  private setState (state: ReaderState): void {
    if (state === this.ownState) return
    this.ownState = state
    this.options.onStateChange()
  }

  private get desiredReaders (): number {
    return Math.min(maxReaders, Math.max(minReaders, this.options.domainCount()))
  }

  /** The other readers that fare in one of these ways. */
  private findReaders (wanted: readonly ReaderState[], now: number): Reader[] {
    const found: Reader[] = []
    for (const [ip, { state, failureDomain, receivedAt: at }] of this.readers) {
      if (now - at > readerTimeoutMs) this.readers.delete(ip)
      else if (wanted.includes(state)) found.push({ ip, failureDomain })
    }
    return found
  }
}

/** Where a reader is. */
interface Reader {
  readonly ip: string
  readonly failureDomain: string
}

interface ReaderElectionOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Whether the others can know of this node: its target is listed. */
  readonly isDiscovered: () => boolean
  /** Failure domains that have nodes. */
  readonly domainCount: () => number
  /** Addresses of the other nodes of this failure domain. */
  readonly domainPeers: () => readonly string[]
  /** Called when the others are to hear of it at once. */
  readonly onStateChange: () => void
}
