import type { Clock } from 'auburnturn/core/clock'
import { abandonedWorkMs, crashConfirmationMs, lossWindowMs, maxAbandonedRequests, maxSuspectsPerCrash } from './constants.js'
import type { CrashSign, DetectedCrash, RunningRequest, Suspect } from './types.js'

/** A request that this node has given up, while the target may still work on it. */
interface AbandonedRequest {
  readonly request: RunningRequest
  /** When it was given up, in clock milliseconds. */
  readonly at: number
}

/** A connection that was lost while a request ran, and all that ran then. */
interface Loss {
  readonly target: string
  /** Clock milliseconds. */
  readonly at: number
  readonly requests: RunningRequest[]
  confirmed: boolean
}

/**
 * Detects that the target on this VM has crashed, and what it was working on. A lost connection alone shows no crash: the target has
 * to refuse connections afterwards, or to answer as another incarnation, without an answer of the old one in between.
 */
export class CrashDetector {
  private readonly options: CrashDetectorOptions
  private readonly running = new Set<RunningRequest>()
  private abandoned: AbandonedRequest[] = []
  private loss: Loss | undefined
  private refusedAt = -Infinity

  private constructor (options: CrashDetectorOptions) {
    this.options = options
  }

  static create (options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options)
  }

  /** Whether the last loss was confirmed to be a crash. */
  get hasCrashed (): boolean {
    return this.loss?.confirmed === true
  }

  /** Records that a request is sent to the target. One of the methods below ends it. */
  start (request: RunningRequest): void {
    this.running.add(request)
  }

  /** Records that a request has ended without being lost. */
  end (request: RunningRequest): void {
    this.running.delete(request)
  }

  /** Records that this node has given up a request, on which the target may still work. */
  abandon (request: RunningRequest): void {
    this.running.delete(request)
    const now = this.options.clock.now()
    this.abandoned = [...this.abandoned.filter(({ at }) => now - at <= abandonedWorkMs), { request, at: now }].slice(-maxAbandonedRequests)
  }

  /** Records that the connection of a request was lost before its answer was whole. */
  lose (request: RunningRequest): void {
    const now = this.options.clock.now()
    if (this.loss === undefined || now - this.loss.at > lossWindowMs) this.recordLoss(now)
    this.running.delete(request)
    if (now - this.refusedAt <= lossWindowMs) this.confirm('refused-connection')
  }

  /** Records that the target refuses connections. */
  recordRefusedConnection (): void {
    const now = this.options.clock.now()
    this.refusedAt = now
    // Without running requests, only those that were given up can have ended the target.
    if (this.running.size === 0 && this.loss === undefined && this.listAbandoned(now).length > 0) this.recordLoss(now)
    this.confirm('refused-connection')
  }

  /** Records that another incarnation of the target has answered. */
  recordNewIncarnation (): void {
    this.confirm('new-incarnation')
    this.loss = undefined
  }

  /** Records an answer of the present incarnation: what was lost clearly before it was a connection, not the target. */
  recordAnswer (): void {
    if (this.loss !== undefined && this.options.clock.now() - this.loss.at > lossWindowMs) this.loss = undefined
  }

  private recordLoss (now: number): void {
    const { readTarget } = this.options
    this.loss = { target: readTarget(), at: now, requests: [...this.running, ...this.listAbandoned(now)], confirmed: false }
    this.abandoned = []
  }

  private confirm (sign: CrashSign): void {
    const { clock, isStopping, onCrash } = this.options
    const { loss } = this
    if (loss === undefined || loss.confirmed || clock.now() - loss.at > crashConfirmationMs) return
    if (isStopping()) return
    loss.confirmed = true
    onCrash({ target: loss.target, at: loss.at, sign, suspects: listSuspects(loss.requests) })
  }

  private listAbandoned (now: number): RunningRequest[] {
    return this.abandoned.filter(({ at }) => now - at <= abandonedWorkMs).map(({ request }) => request)
  }
}

/** A request is alone if the target was kept free for it, or if nothing else ran anyway. */
function listSuspects (requests: readonly RunningRequest[]): Suspect[] {
  const suspects = new Map<string, Suspect>()
  for (const { fingerprint, exclusive } of requests) suspects.set(fingerprint, { fingerprint, alone: exclusive || requests.length === 1, cleared: false })
  return [...suspects.values()].slice(0, maxSuspectsPerCrash)
}

interface CrashDetectorOptions {
  readonly clock: Clock
  /** Returns the id of the present incarnation. */
  readonly readTarget: () => string
  /** Whether the target ends by plan. */
  readonly isStopping: () => boolean
  readonly onCrash: (crash: DetectedCrash) => void
}
