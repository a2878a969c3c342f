import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { firstBackoffMs, maxBackoffMs } from './constants.js'
import type { Part, Start } from './types.js'

interface Child {
  readonly name: string
  readonly start: Start
  part: Part | undefined
  restarts: number
}

/** One level of the tree; a supervisor is itself a part. */
export class Supervisor implements Part {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly children: Child[] = []
  private readonly closing = new AbortController()

  private constructor (clock: Clock, logger: Logger) {
    this.clock = clock
    this.logger = logger
  }

  static create ({ clock, logger }: { clock: Clock, logger: Logger }): Supervisor {
    return new Supervisor(clock, logger)
  }

  /** Starts a part and keeps it running; rejects when its first start fails. */
  async add (name: string, start: Start): Promise<void> {
    const child: Child = { name, start, part: undefined, restarts: 0 }
    child.part = await this.run(child)
    this.children.push(child)
  }

  async close (): Promise<void> {
    this.closing.abort()
    for (const child of [...this.children].reverse()) await child.part?.close()
  }

  dump (): Record<string, unknown> {
    return Object.fromEntries(this.children.map(child => [child.name, { restarts: child.restarts, state: child.part?.dump?.() }]))
  }

  private async run (child: Child): Promise<Part> {
    let failed = false
    return await child.start(error => {
      if (failed) return
      failed = true
      this.restart(child, error).catch(cause => this.logger.error('restart-failed', { part: child.name, error: String(cause) }))
    })
  }

  private async restart (child: Child, error: unknown): Promise<void> {
    this.logger.error('part-failed', { part: child.name, error: String(error) })
    const broken = child.part
    child.part = undefined
    await broken?.close()
    while (!this.closing.signal.aborted && child.part === undefined) {
      const backoff = Math.min(maxBackoffMs, firstBackoffMs * 2 ** child.restarts)
      child.restarts++
      await this.clock.sleep(backoff, this.closing.signal)
      if (this.closing.signal.aborted) return
      child.part = await this.run(child).catch(cause => {
        this.logger.error('part-failed', { part: child.name, error: String(cause) })
        return undefined
      })
    }
  }
}
