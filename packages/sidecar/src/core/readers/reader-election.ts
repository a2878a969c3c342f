import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { discoveryTimeoutMs, electionBackoffMs, electionDelayStepMs, failingReaderTimeoutMs, maxElectionDelayMs, maxFailingReaders, maxReaders, minReaders, readerTimeoutMs, servedDomainDelayMs } from './constants.js'
import type { ReaderState } from './types.js'

/** The last notice of another reader; the time is in clock milliseconds. */
interface ReaderReport {
  readonly state: ReaderState
  readonly failureDomain: string
  readonly receivedAt: number
}

/**
 * Decides whether this node reads the store on behalf of all nodes. There is no vote: a node that receives notices
 * from too few readers becomes a reader after a delay, which is shorter the lower its address in its failure domain.
 * Of too many readers, those that share a failure domain with another one stop first, then those with the highest
 * addresses. A node that receives no notices therefore becomes a reader.
 */
export class ReaderElection {
  private readonly options: ReaderElectionOptions
  private readonly readers = new Map<string, ReaderReport>()
  private ownState: ReaderState = 'stopped'
  private stopped = false
  /**
   * Set while there are too few readers: since when, in clock milliseconds, and the random factor, 0.5 to 1, of this node's
   * election delay.
   */
  private shortage: { readonly since: number, readonly delayFactor: number } | undefined
  /** Clock milliseconds until which this node does not become a reader again while other readers are failing. */
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

  /** Whether this node reads the store, or tries to. */
  get isReader (): boolean {
    return this.ownState !== 'stopped'
  }

  get state (): ReaderState {
    return this.ownState
  }

  /** Records a notice of the reader at `ip`. */
  receiveNotice (ip: string, state: ReaderState, failureDomain: string): void {
    if (state === 'stopped') this.readers.delete(ip)
    else this.readers.set(ip, { state, failureDomain, receivedAt: this.options.clock.now() })
  }

  /** Records whether the store answered a call of this node. */
  recordCall (answered: boolean): void {
    if (!this.isReader) return
    if (answered) this.failingSince = undefined
    else this.failingSince ??= this.options.clock.now()
    this.setState(answered ? 'reading' : 'failing')
  }

  /** Whether there are too few readers, but this node does not become one since the others can't have discovered it yet. */
  get awaitsDiscovery (): boolean {
    const { clock, isDiscovered } = this.options
    return this.shortage !== undefined && !isDiscovered() && clock.now() - this.createdAt < discoveryTimeoutMs
  }

  /** Whether another node of this failure domain is a reader that the store answers. */
  get hasReaderInDomain (): boolean {
    return this.findReaders(['reading'], this.options.clock.now()).some(({ failureDomain }) => failureDomain === this.options.failureDomain)
  }

  /** Starts or stops reading if due; returns whether this node is a reader now. */
  update (): boolean {
    if (this.stopped) return false
    if (this.isReader) this.maybeStopReading()
    else this.maybeStartReading()
    return this.isReader
  }

  /** Stops reading permanently. */
  stop (): void {
    this.stopped = true
    if (this.isReader) this.stopReading('node is leaving')
  }

  private maybeStopReading (): void {
    const { clock, domainPeers } = this.options
    const now = clock.now()
    const redundant = this.ownState === 'failing' ? this.findReaders(['reading'], now).length >= this.desiredReaders : this.countPreferred(now) >= this.desiredReaders
    if (redundant) return this.stopReading('enough readers')
    if (this.failingSince === undefined || now - this.failingSince < failingReaderTimeoutMs || domainPeers().length === 0) return
    this.backoffUntil = now + electionBackoffMs
    this.stopReading('store does not answer')
  }

  private maybeStartReading (): void {
    const { clock, random, logger } = this.options
    const now = clock.now()
    const failing = this.findReaders(['failing'], now).length
    const enough = this.findReaders(['reading', 'trying'], now).length >= this.desiredReaders || failing >= maxFailingReaders
    // Backoff lets other nodes try. It ends when no other node tries, as otherwise no node would detect that the store is back.
    const backingOff = now < this.backoffUntil && failing > 0
    if (enough || backingOff) {
      this.shortage = undefined
      return
    }
    this.shortage ??= { since: now, delayFactor: (1 + random.fraction()) / 2 }
    if (now - this.shortage.since < this.computeElectionDelayMs(now) * this.shortage.delayFactor) return
    // Other nodes can't request anything from a node that they have not discovered, so it would read for itself alone.
    if (this.awaitsDiscovery) return
    logger.info('reading-started', { readers: this.readers.size })
    this.setState('trying')
  }

  /**
   * Delay before this node becomes a reader, in milliseconds, to be scaled by its random factor. Nodes of the same
   * failure domain with lower addresses and nodes of failure domains without a reader come first.
   */
  private computeElectionDelayMs (now: number): number {
    const { ip, failureDomain, domainPeers } = this.options
    const lowerPeers = domainPeers().filter(other => other < ip).length
    const domainHasReader = this.findReaders(['reading', 'trying'], now).some(reader => reader.failureDomain === failureDomain)
    return Math.min(maxElectionDelayMs, (lowerPeers + 1) * electionDelayStepMs + (domainHasReader ? servedDomainDelayMs : 0))
  }

  /** Number of readers that take precedence over this node when there are too many. */
  private countPreferred (now: number): number {
    const { ip, failureDomain } = this.options
    const own: Reader = { ip, failureDomain }
    const readers = [...this.findReaders(['reading', 'trying'], now), own]
    const rankInDomain = (reader: Reader): number => readers.filter(other => other.failureDomain === reader.failureDomain && other.ip < reader.ip).length
    const ownRank = rankInDomain(own)
    return readers.filter(reader => {
      const rank = rankInDomain(reader)
      return rank < ownRank || (rank === ownRank && reader.ip < ip)
    }).length
  }

  private stopReading (reason: string): void {
    this.shortage = undefined
    this.failingSince = undefined
    this.options.logger.info('reading-stopped', { reason })
    this.setState('stopped')
  }

  /** Changes the state; each change is announced immediately. */
  private setState (state: ReaderState): void {
    if (state === this.ownState) return
    this.ownState = state
    this.options.onStateChange()
  }

  /** Number of nodes that should be readers: one for each failure domain, within limits. */
  private get desiredReaders (): number {
    return Math.min(maxReaders, Math.max(minReaders, this.options.domainCount()))
  }

  /** Returns the other readers in one of these states; removes those whose notices have stopped. */
  private findReaders (states: readonly ReaderState[], now: number): Reader[] {
    const readers: Reader[] = []
    for (const [ip, { state, failureDomain, receivedAt }] of this.readers) {
      if (now - receivedAt > readerTimeoutMs) this.readers.delete(ip)
      else if (states.includes(state)) readers.push({ ip, failureDomain })
    }
    return readers
  }
}

/** Address and failure domain of a reader. */
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
  /** Whether other nodes can have discovered this node: its target is listed. */
  readonly isDiscovered: () => boolean
  /** Number of failure domains that have nodes. */
  readonly domainCount: () => number
  /** Addresses of the other nodes of this failure domain. */
  readonly domainPeers: () => readonly string[]
  /** Called after each change of state, to announce it immediately. */
  readonly onStateChange: () => void
}
