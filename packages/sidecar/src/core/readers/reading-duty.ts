import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { maxTriers, readersOfOnlyDomain, restMs, silentReaderMs, takeUpSpreadMs, tryMs } from './constants.js'
import type { ReaderState } from './types.js'

/** Another reader, as it was last heard. */
interface Heard {
  readonly state: ReaderState
  readonly failureDomain: string
  readonly at: number
}

/**
 * Decides whether this node reads the store for its failure domain. Nobody elects anybody: a node that hears no
 * reader near it becomes one after a random time, and of two that do, the one with the higher address stops.
 */
export class ReadingDuty {
  private readonly options: ReadingDutyOptions
  private readonly readers = new Map<string, Heard>()
  private ownState: ReaderState = 'stopped'
  private stopped = false
  private dueAt: number | undefined
  private restUntil = -Infinity
  private failingSince: number | undefined

  private constructor (options: ReadingDutyOptions) {
    this.options = options
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
    const { clock, ip, neighbours } = this.options
    const now = clock.now()
    const failing = this.ownState === 'failing'
    const better = failing ? this.listNear(['reading'], now) : this.listNear(['reading', 'trying'], now).filter(other => other < ip)
    if (better.length >= this.wanted) return this.leave('another reader')
    if (this.failingSince === undefined || now - this.failingSince < tryMs || neighbours() === 0) return
    this.restUntil = now + restMs
    this.leave('no answer')
  }

  private takeUpIfMissed (): void {
    const { clock, random, logger } = this.options
    const now = clock.now()
    const failing = this.listNear(['failing'], now).length
    const enough = this.listNear(['reading', 'trying'], now).length >= this.wanted || failing >= maxTriers
    // Rest leaves the turn to others; where nobody has it, the store's return would go unseen.
    const resting = now < this.restUntil && failing > 0
    if (enough || resting) {
      this.dueAt = undefined
      return
    }
    this.dueAt ??= now + random.fraction() * takeUpSpreadMs
    if (now < this.dueAt) return
    logger.info('reading-started', { readers: this.readers.size })
    this.become('trying')
  }

  private leave (reason: string): void {
    this.dueAt = undefined
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
    return this.options.domains() > 1 ? 1 : readersOfOnlyDomain
  }

  /** Addresses of the other readers of this failure domain that fare in one of these ways. */
  private listNear (wanted: readonly ReaderState[], now: number): string[] {
    const found: string[] = []
    for (const [ip, { state, failureDomain, at }] of this.readers) {
      if (now - at > silentReaderMs) this.readers.delete(ip)
      else if (wanted.includes(state) && failureDomain === this.options.failureDomain) found.push(ip)
    }
    return found
  }
}

interface ReadingDutyOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Failure domains that have nodes. */
  readonly domains: () => number
  /** Other nodes known in this failure domain. */
  readonly neighbours: () => number
  /** Called when the others are to hear of it at once. */
  readonly onChange: () => void
}
