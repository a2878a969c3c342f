import type { Clock, Timeout } from 'auburnturn/core/clock'
import { maxDrainMs } from './constants.js'
import { RequestQueue } from './request-queue.js'
import type { QueuedRequest } from './request-queue.js'
import type { AdmissionDecision, RefusalCause, SlotRequest } from './types.js'

/** The turn of a request that runs alone. Times are clock milliseconds. */
interface Turn {
  /** When other requests ceased to start. */
  readonly startedAt: number
  /** Ends the wait for the requests that still run. */
  readonly timer: Timeout
  /** The request, once it runs. */
  running: SlotRequest | undefined
}

/**
 * Requests that run alone, one after the other. For each, no other request starts until those that run have ended and it has run
 * itself; then the others get at least as much time.
 */
export class LoneRuns {
  private readonly options: LoneRunsOptions
  private readonly queue: RequestQueue
  private turn: Turn | undefined
  private othersUntil = -Infinity
  /** Starts the next turn after the time of the others. */
  private othersTimer: Timeout | undefined

  private constructor (options: LoneRunsOptions) {
    this.options = options
    this.queue = RequestQueue.create(options)
  }

  static create (options: LoneRunsOptions): LoneRuns {
    return new LoneRuns(options)
  }

  /** Number of requests that wait for their turn. */
  get waiting (): number {
    return this.queue.length
  }

  /** Whether no other request may start now. */
  get blocking (): boolean {
    return this.turn !== undefined
  }

  /** Queues a request; after `maxWaitMs` it is refused. */
  add (request: SlotRequest, maxWaitMs: number): { readonly decision: Promise<AdmissionDecision>, readonly cancel: () => void } {
    const { clock, onTurnEnd } = this.options
    const { decision, cancel } = this.queue.add(request, clock.now(), maxWaitMs)
    const cancelWaiting = (): void => {
      cancel()
      onTurnEnd()
    }
    return { decision, cancel: cancelWaiting }
  }

  /** Starts the next turn if it is due. Returns the request to start now: the target has to be idle. */
  takeNext (isIdle: boolean): QueuedRequest | undefined {
    if (this.turn === undefined) this.startTurn()
    else if (this.turn.running === undefined && this.queue.length === 0) this.endTurn()
    if (this.turn === undefined || this.turn.running !== undefined || !isIdle) return undefined
    const [next] = this.queue.listAll()
    if (next === undefined) return undefined
    this.queue.take(next)
    this.turn.timer.cancel()
    this.turn.running = next.request
    return next
  }

  /** Records that a request has ended; it may be one of those that do not run alone. */
  release (request: SlotRequest): void {
    if (this.turn?.running === request) this.endTurn()
  }

  refuseAll (cause: RefusalCause): void {
    this.queue.refuseAll(cause)
  }

  private startTurn (): void {
    const { clock, onTurnEnd } = this.options
    const now = clock.now()
    if (this.queue.length === 0) return
    if (now < this.othersUntil) {
      this.othersTimer?.cancel()
      this.othersTimer = clock.timerWheel.after(this.othersUntil - now, onTurnEnd)
      return
    }
    this.turn = { startedAt: now, timer: clock.timerWheel.after(maxDrainMs, () => { this.giveUpTurn() }), running: undefined }
  }

  /** Refuses the request whose turn it is, since the requests that run take too long to end. */
  private giveUpTurn (): void {
    const [next] = this.queue.listAll()
    if (next !== undefined) this.queue.refuse(next, 'overloaded')
    this.endTurn()
    this.options.onTurnEnd()
  }

  private endTurn (): void {
    if (this.turn === undefined) return
    const now = this.options.clock.now()
    this.turn.timer.cancel()
    this.othersUntil = now + (now - this.turn.startedAt)
    this.turn = undefined
  }
}

interface LoneRunsOptions {
  readonly clock: Clock
  readonly createRefusal: (cause: RefusalCause) => AdmissionDecision
  /** Called when requests may have become able to start without one that has ended. */
  readonly onTurnEnd: () => void
}
