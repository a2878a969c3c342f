import type { Clock } from '../clock/index.js'

/** Input may lie unread for this long when a request is sent, in milliseconds. */
const maxUnreadMs = 100

/**
 * What the connections of this process hold and it has not read yet. The event loop reads the bytes of a connection in one turn
 * and an end behind them in the next, so that a caller who left long ago looks at first as if it still waited.
 */
export class PendingInput {
  private readonly clock: Clock
  private readonly afterTurn: (action: () => void) => void
  /** What had arrived by then has been read, in clock milliseconds. */
  private readUntil: number
  private reading: Promise<void> | undefined

  private constructor ({ clock, afterTurn = setImmediate }: PendingInputOptions) {
    this.clock = clock
    this.afterTurn = afterTurn
    this.readUntil = clock.now()
  }

  static create (options: PendingInputOptions): PendingInput {
    return new PendingInput(options)
  }

  /** Resolves when the bytes and ends that had arrived before this call have been read. */
  async read (): Promise<void> {
    this.reading ??= this.start()
    await this.reading
  }

  /** The same, but resolves at once when the input was read a moment ago. */
  async readIfOld (): Promise<void> {
    if (this.clock.now() - this.readUntil > maxUnreadMs) await this.read()
  }

  private async start (): Promise<void> {
    await new Promise<void>(resolve => {
      this.afterTurn(() => {
        // Bytes that are read from now on may have an end behind them that takes one turn more.
        this.reading = undefined
        const startedAt = this.clock.now()
        this.afterTurn(() => {
          this.readUntil = startedAt
          resolve()
        })
      })
    })
  }
}

interface PendingInputOptions {
  readonly clock: Clock
  /** Calls an action after the input of the present turn of the event loop was read; replaced on simulated time. */
  readonly afterTurn?: (action: () => void) => void
}
