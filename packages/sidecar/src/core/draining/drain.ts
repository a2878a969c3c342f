import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { InFlightRequests } from '../listening/index.js'
import { answerMarginMs, callerRemovalTimeoutMs, cancelMarginMs, exitMarginMs, idleMs, listenMs, refusedChecksUntilRemoval, removalCheckIntervalMs } from './constants.js'

/**
 * Progress of the stop: requests are served as usual; callers are asked to use other nodes and are still served; callers use
 * other nodes, and only requests that are sure to end in time are taken.
 */
type DrainPhase = 'serving' | 'leaving' | 'removed'

/** The planned stop of a node, from SIGTERM to the end of its process. */
export class Drain {
  private readonly options: DrainOptions
  private phase: DrainPhase = 'serving'
  /** Number of readiness checks answered with "not ready" since SIGTERM. */
  private refusedChecks = 0
  /** When requests still in flight are cancelled, in clock milliseconds. */
  private cancelAt = Infinity

  private constructor (options: DrainOptions) {
    this.options = options
  }

  static create (options: DrainOptions): Drain {
    return new Drain(options)
  }

  /** Whether callers should use other nodes. */
  get leaving (): boolean {
    return this.phase !== 'serving'
  }

  /**
   * Whether a request is taken whose caller waits until `deadlineAt` (clock milliseconds). Once callers can use other nodes, one
   * that may last longer than this process is refused.
   */
  admits (deadlineAt: number): boolean {
    return this.phase !== 'removed' || deadlineAt <= this.cancelAt
  }

  /** Counts a readiness check that was refused because the node leaves. */
  recordRefusedCheck (): void {
    this.refusedChecks++
  }

  /** Stops the node within `graceMs`, the time after SIGTERM at which its process is killed. Resolves when the process can exit. */
  async run (graceMs: number): Promise<void> {
    const { clock, logger, inFlightRequests, closeTarget, stopListening, cancelRequests, answerRequests } = this.options
    const startedAt = clock.now()
    const exitAt = startedAt + graceMs - exitMarginMs
    const stopListeningAt = startedAt + Math.min(listenMs, graceMs / 2)
    this.phase = 'leaving'
    this.cancelAt = exitAt - cancelMarginMs
    await this.waitUntilRemoved(Math.min(startedAt + callerRemovalTimeoutMs, stopListeningAt))
    this.phase = 'removed'
    closeTarget()
    await inFlightRequests.waitUntilEmpty(stopListeningAt)
    await stopListening()
    // Connections that were accepted earlier may still deliver a request.
    await inFlightRequests.waitUntilIdle(idleMs, stopListeningAt)
    await inFlightRequests.waitUntilEmpty(this.cancelAt)
    cancelRequests()
    await inFlightRequests.waitUntilIdle(idleMs, exitAt - answerMarginMs)
    answerRequests()
    await inFlightRequests.waitUntilIdle(idleMs, exitAt)
    logger.info('node-ended', { inFlight: inFlightRequests.count, tookMs: Math.round(clock.now() - startedAt) })
  }

  /** Resolves when callers use other nodes, or at `deadlineAt` (clock milliseconds). */
  private async waitUntilRemoved (deadlineAt: number): Promise<void> {
    const { clock } = this.options
    while (this.refusedChecks < refusedChecksUntilRemoval && clock.now() < deadlineAt) await clock.sleep(removalCheckIntervalMs)
  }
}

/** What a drain acts on. */
export interface DrainOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly inFlightRequests: InFlightRequests
  /** Refuses requests for the target on this VM. */
  readonly closeTarget: () => void
  /** Stops accepting connections of callers. */
  readonly stopListening: () => Promise<void>
  /** Cancels the requests of callers that are in flight; each is answered with its outcome so far. */
  readonly cancelRequests: () => void
  /** Answers the requests of callers that did not end when they were cancelled. */
  readonly answerRequests: () => void
}
