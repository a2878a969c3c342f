import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { SupervisedPart } from './supervised-part.js'
import type { Part, PartFactory } from './types.js'

/** Supervises a list of parts. A supervisor is itself a part, so supervisors can form a tree. */
export class Supervisor implements Part {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly parts: SupervisedPart[] = []
  private closing: Promise<void> | undefined

  private constructor (clock: Clock, logger: Logger) {
    this.clock = clock
    this.logger = logger
  }

  static create ({ clock, logger }: { clock: Clock, logger: Logger }): Supervisor {
    return new Supervisor(clock, logger)
  }

  /** Starts a part and supervises it. If its first start fails, closes all parts and rejects with the error. */
  async add (name: string, start: PartFactory): Promise<void> {
    const { clock, logger } = this
    try {
      if (this.parts.some(part => part.name === name)) throw new Error(`a part named ${name} was already added`)
      if (this.closing !== undefined) throw new Error(`part ${name} was added to a closed supervisor`)
      const part = await SupervisedPart.create({ name, start, clock, logger })
      this.parts.push(part)
    } catch (error) {
      await this.close()
      throw error
    }
    // The supervisor was closed during the start, so closeParts() did not include this part.
    if (this.closing !== undefined) await this.parts.pop()?.close()
  }

  /** Closes the parts, the last started first. A part that hangs or fails to close does not prevent closing the others. */
  async close (): Promise<void> {
    this.closing ??= this.closeParts()
    await this.closing
  }

  /** Number of restarts of all parts since the start. */
  get restarts (): number {
    return this.parts.reduce((sum, part) => sum + part.restarts, 0)
  }

  dump (): Record<string, unknown> {
    return Object.fromEntries(this.parts.map(part => [part.name, part.dump()]))
  }

  private async closeParts (): Promise<void> {
    for (const part of [...this.parts].reverse()) await part.close()
  }
}
