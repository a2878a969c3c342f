import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { closeWithin } from './close-within.js'
import { backoffResetMs, baseBackoffMs, closeTimeoutMs, maxBackoffMs } from './constants.js'
import type { Part, PartFactory } from './types.js'

/** One run of a part, from its start to its failure or close. */
interface Run {
  readonly part: Part
  /** Resolves with the error when the part reports a failure. */
  readonly failure: Promise<unknown>
  readonly startedAt: number
}

/** Supervises one part: closes it when it fails, and restarts it with exponential backoff. */
export class SupervisedPart {
  private readonly options: SupervisedPartOptions
  private readonly closing = new AbortController()
  private readonly closed: Promise<void>
  private run: Run | undefined
  private supervision: Promise<void> = Promise.resolve()
  private restartCount = 0
  /** Failures since the part last ran for `backoffResetMs`. */
  private failures = 0
  private lastError: string | undefined

  private constructor (options: SupervisedPartOptions) {
    this.options = options
    this.closed = new Promise(resolve => {
      this.closing.signal.addEventListener('abort', () => { resolve() }, { once: true })
    })
  }

  /** Starts the part; rejects if this first start fails. */
  static async create (options: SupervisedPartOptions): Promise<SupervisedPart> {
    const supervised = new SupervisedPart(options)
    supervised.run = await supervised.start()
    supervised.supervision = supervised.supervise()
    return supervised
  }

  get name (): string {
    return this.options.name
  }

  /** Restarts since the first start. */
  get restarts (): number {
    return this.restartCount
  }

  /** Stops supervising and closes the part; waits at most `closeTimeoutMs` until it is closed. */
  async close (): Promise<void> {
    this.closing.abort()
    await this.supervision
    await this.closeRun()
  }

  dump (): Record<string, unknown> {
    return {
      running: this.run !== undefined,
      restarts: this.restartCount,
      ...(this.lastError === undefined ? {} : { lastError: this.lastError }),
      state: this.dumpPart()
    }
  }

  private dumpPart (): unknown {
    try {
      return this.run?.part.dump?.()
    } catch (error) {
      return { error: String(error) }
    }
  }

  private async supervise (): Promise<void> {
    while (!this.closing.signal.aborted) {
      if (this.run === undefined) await this.restart()
      else await this.waitForFailure(this.run)
    }
  }

  private async waitForFailure (run: Run): Promise<void> {
    const error = await Promise.race([run.failure, this.closed])
    if (this.closing.signal.aborted) return
    if (this.options.clock.now() - run.startedAt >= backoffResetMs) this.failures = 0
    this.recordFailure(error)
    await this.closeRun()
  }

  private async restart (): Promise<void> {
    const { clock } = this.options
    const backoff = Math.min(maxBackoffMs, baseBackoffMs * 2 ** this.failures)
    this.failures++
    await clock.sleep(backoff, this.closing.signal)
    if (this.closing.signal.aborted) return
    this.restartCount++
    const starting = this.start()
    try {
      this.run = await Promise.race([starting, this.closed]) ?? undefined
    } catch (error) {
      this.recordFailure(error)
    }
    // If close() was called during the start, the start may still succeed later; close that part then.
    if (this.run === undefined) starting.then(lateRun => { lateRun.part.close().catch(() => {}) }, () => {})
  }

  private async start (): Promise<Run> {
    let fail: (error: unknown) => void = () => {}
    const failure = new Promise<unknown>(resolve => { fail = resolve })
    const part = await this.options.start(fail)
    return { part, failure, startedAt: this.options.clock.now() }
  }

  private async closeRun (): Promise<void> {
    const part = this.run?.part
    this.run = undefined
    if (part === undefined) return
    const { name, clock, logger } = this.options
    const outcome = await closeWithin(part, closeTimeoutMs, clock)
    if (outcome.kind === 'failed') logger.error('part-close-failed', { part: name, error: String(outcome.error) })
    if (outcome.kind === 'late') logger.error('part-close-late', { part: name, waitedMs: closeTimeoutMs })
  }

  private recordFailure (error: unknown): void {
    const { name, logger } = this.options
    this.lastError = String(error)
    logger.error('part-failed', { part: name, error: this.lastError, restarts: this.restartCount })
  }
}

interface SupervisedPartOptions {
  readonly name: string
  readonly start: PartFactory
  readonly clock: Clock
  readonly logger: Logger
}
