import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { knownWithinMs, leastReaders, maxTriers, mostReaders, restMs, servedDomainMs, silentReaderMs, takeUpSpreadMs, takeUpStepMs, tryMs } from './constants.js'
import type { ReaderState } from './types.js'

/** Another reader, as it was last heard. */
interface Heard {
  readonly state: ReaderState
  readonly failureDomain: string
  readonly at: number
}

/**
 * Decides whether this node reads the store for all. Nobody elects anybody: a node that hears too few readers
 * becomes one after a while, the sooner the lower its address in its failure domain. Of too many, those stop that
 * share a failure domain with another one, then those with the highest addresses. Nodes that hear no others thus
 * read for themselves.
 */
export class ReadingDuty {
  private readonly options: ReadingDutyOptions
  private readonly readers = new Map<string, Heard>()
  private ownState: ReaderState = 'stopped'
  private stopped = false
  /** Since when readers are missing, and the share of its turn that this node waits. */
  private missed: { readonly at: number, readonly share: number } | undefined
  private restUntil = -Infinity
  private failingSince: number | undefined
  private readonly createdAt: number

  private constructor (options: ReadingDutyOptions) {
    this.options = options
    this.createdAt = options.clock.now()
  }

  static create (options: ReadingDutyOptions): ReadingDuty {
    return new ReadingDuty(options)
  }

  get onDuty (): boolean {
    return this.ownState !== 'stopped'
  }

  get state (): ReaderState {
    return this.ownState
  }

  hear (ip: string, state: ReaderState, failureDomain: string): void {
    if (state === 'stopped') this.readers.delete(ip)
    else this.readers.set(ip, { state, failureDomain, at: this.options.clock.now() })
  }

  /** Notes whether the store has answered a call of this node. */
  record (answered: boolean): void {
    if (!this.onDuty) return
    if (answered) this.failingSince = undefined
    else this.failingSince ??= this.options.clock.now()
    this.become(answered ? 'reading' : 'failing')
  }

  /** Whether too few others read, and this node leaves it to them since nobody can know of it yet. */
  get waitsToBeKnown (): boolean {
    const { clock, isKnown } = this.options
    return this.missed !== undefined && !isKnown() && clock.now() - this.createdAt < knownWithinMs
  }

  /** Whether another node of this failure domain reads. */
  get hasNeighbour (): boolean {
    return this.list(['reading'], this.options.clock.now()).some(({ failureDomain }) => failureDomain === this.options.failureDomain)
  }

  /** Takes up the duty, or leaves it; whether this node is to read now. */
  update (): boolean {
    if (this.stopped) return false
    if (this.onDuty) this.leaveIfRelieved()
    else this.takeUpIfMissed()
    return this.onDuty
  }

  /** Leaves the reading to others for good. */
  stop (): void {
    this.stopped = true
    if (this.onDuty) this.leave('node leaves')
  }

  private leaveIfRelieved (): void {
    const { clock, neighbours } = this.options
    const now = clock.now()
    const spare = this.ownState === 'failing' ? this.list(['reading'], now).length >= this.wanted : this.countPreferred(now) >= this.wanted
    if (spare) return this.leave('enough readers')
    if (this.failingSince === undefined || now - this.failingSince < tryMs || neighbours().length === 0) return
    this.restUntil = now + restMs
    this.leave('no answer')
  }

  private takeUpIfMissed (): void {
    const { clock, random, logger } = this.options
    const now = clock.now()
    const failing = this.list(['failing'], now).length
    const enough = this.list(['reading', 'trying'], now).length >= this.wanted || failing >= maxTriers
    // Rest leaves the turn to others; where nobody has it, the store's return would go unseen.
    const resting = now < this.restUntil && failing > 0
    if (enough || resting) {
      this.missed = undefined
      return
    }
    this.missed ??= { at: now, share: (1 + random.fraction()) / 2 }
    if (now - this.missed.at < this.turnMs(now) * this.missed.share) return
    // What this node would tell, nobody would ask it for.
    if (this.waitsToBeKnown) return
    logger.info('reading-started', { readers: this.readers.size })
    this.become('trying')
  }

  /**
   * How long this node leaves it to others to begin, in milliseconds: to neighbours with lower addresses, and to
   * failure domains without a reader.
   */
  private turnMs (now: number): number {
    const { ip, failureDomain, neighbours } = this.options
    const before = neighbours().filter(other => other < ip).length
    const served = this.list(['reading', 'trying'], now).some(reader => reader.failureDomain === failureDomain)
    return Math.min(takeUpSpreadMs, (before + 1) * takeUpStepMs + (served ? servedDomainMs : 0))
  }

  /** Readers that go on before this one does when there are too many. */
  private countPreferred (now: number): number {
    const { ip, failureDomain } = this.options
    const own: Reader = { ip, failureDomain }
    const readers = [...this.list(['reading', 'trying'], now), own]
    const placeInDomain = (one: Reader): number => readers.filter(other => other.failureDomain === one.failureDomain && other.ip < one.ip).length
    const ownPlace = placeInDomain(own)
    return readers.filter(one => {
      const place = placeInDomain(one)
      return place < ownPlace || (place === ownPlace && one.ip < ip)
    }).length
  }

  private leave (reason: string): void {
    this.missed = undefined
    this.failingSince = undefined
    this.options.logger.info('reading-stopped', { reason })
    this.become('stopped')
  }

  /** The others hear of each new state at once. */
  private become (state: ReaderState): void {
    if (state === this.ownState) return
    this.ownState = state
    this.options.onChange()
  }

  private get wanted (): number {
    return Math.min(mostReaders, Math.max(leastReaders, this.options.domains()))
  }

  /** The other readers that fare in one of these ways. */
  private list (wanted: readonly ReaderState[], now: number): Reader[] {
    const found: Reader[] = []
    for (const [ip, { state, failureDomain, at }] of this.readers) {
      if (now - at > silentReaderMs) this.readers.delete(ip)
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

interface ReadingDutyOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Whether the others can know of this node: its target is listed. */
  readonly isKnown: () => boolean
  /** Failure domains that have nodes. */
  readonly domains: () => number
  /** Addresses of the other nodes of this failure domain. */
  readonly neighbours: () => readonly string[]
  /** Called when the others are to hear of it at once. */
  readonly onChange: () => void
}
