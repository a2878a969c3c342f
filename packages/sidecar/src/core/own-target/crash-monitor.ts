import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { isConnectionRefused } from '../exchange/index.js'
import type { ExchangeResult } from '../exchange/index.js'
import { CrashDetector } from '../quarantine/index.js'
import type { DetectedCrash, Quarantine, RunningRequest } from '../quarantine/index.js'
import { connectionCheckTimeoutMs } from './constants.js'

/** Watches the requests at the target on this VM, and reports its crashes to the quarantine. */
export class CrashMonitor {
  private readonly options: CrashMonitorOptions
  private readonly detector: CrashDetector
  /** The check of the connection that runs; shared by all requests that were lost together. */
  private check: Promise<boolean> | undefined

  private constructor (options: CrashMonitorOptions) {
    this.options = options
    this.detector = CrashDetector.create({ ...options, onCrash: crash => { this.recordCrash(crash) } })
  }

  static create (options: CrashMonitorOptions): CrashMonitor {
    return new CrashMonitor(options)
  }

  /** Records that a request is sent to the target. */
  start (request: RunningRequest): void {
    this.detector.start(request)
  }

  /** Records that a request could not be sent. */
  cancel (request: RunningRequest): void {
    this.detector.end(request)
  }

  /** Records how a request ended. Resolves with whether the target crashed under it, once that is known. */
  async end (request: RunningRequest, result: ExchangeResult): Promise<boolean> {
    const cause = result.kind === 'lost' ? result.cause : undefined
    if (cause === 'left' || cause === 'timeout') this.detector.abandon(request)
    else if (cause === 'reset' || cause === 'cut') return await this.endLost(request)
    else this.detector.end(request)
    return false
  }

  /** Records that the target refuses connections. */
  recordRefusedConnection (): void {
    this.detector.recordRefusedConnection()
  }

  /** Records that another incarnation of the target has answered. */
  recordNewIncarnation (): void {
    this.detector.recordNewIncarnation()
  }

  /** Records an answer of the present incarnation. */
  recordAnswer (): void {
    this.detector.recordAnswer()
  }

  /** Distinguishes the crash of the target from the loss of one connection. */
  private async endLost (request: RunningRequest): Promise<boolean> {
    const { address, onRefused } = this.options
    this.detector.lose(request)
    if (this.detector.hasCrashed) return true
    this.check ??= isConnectionRefused(address, connectionCheckTimeoutMs).finally(() => { this.check = undefined })
    if (await this.check) onRefused()
    return this.detector.hasCrashed
  }

  private recordCrash (crash: DetectedCrash): void {
    const { clock, logger, metrics, quarantine } = this.options
    const { target, at, sign, suspects } = crash
    metrics.count('target_crashes_total')
    logger.warn('target-crashed', { target, agoMs: Math.round(clock.now() - at), sign, requests: suspects.map(({ fingerprint }) => fingerprint).join(), alone: suspects.some(({ alone }) => alone) })
    quarantine.recordCrash(crash)
  }
}

interface CrashMonitorOptions {
  /** `IP:PORT` of the target. */
  readonly address: string
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly quarantine: Quarantine
  /** Returns the id of the present incarnation. */
  readonly readTarget: () => string
  /** Whether the target ends by plan. */
  readonly isStopping: () => boolean
  /** Called when the target refuses connections; has to call `recordRefusedConnection`. */
  readonly onRefused: () => void
}
