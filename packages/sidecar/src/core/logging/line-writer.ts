import { write } from 'node:fs'
import type { Clock } from 'auburnturn/core/clock'
import { maxBufferedCharacters, maxBurstLines, maxLinesPerSecond } from './constants.js'

/** Writes text to its destination, and calls `done` when it accepts more. */
export type Sink = (text: string, done: () => void) => void

/**
 * Writes lines without waiting for their reader. Lines above the rate limit, or while the buffer for a slow reader is full, are
 * dropped, and a line reports how many.
 */
export class LineWriter {
  private readonly clock: Clock
  private readonly sink: Sink
  private buffer = ''
  private writing = false
  private tokens = maxBurstLines
  private refilledAt: number
  private droppedLines = 0

  private constructor (clock: Clock, sink: Sink) {
    this.clock = clock
    this.sink = sink
    this.refilledAt = clock.now()
  }

  /** Writes to standard output unless another sink is given. */
  static create ({ clock, sink = writeToStandardOutput }: { clock: Clock, sink?: Sink }): LineWriter {
    return new LineWriter(clock, sink)
  }

  /** Whether one more line is within the rate limit; if not, it counts as dropped and must not be written. */
  admit (): boolean {
    if (this.takeToken() && this.buffer.length <= maxBufferedCharacters) return true
    this.droppedLines++
    return false
  }

  /** Writes an admitted line, given without its line break. */
  write (line: string): void {
    if (this.droppedLines > 0) {
      this.buffer += `level=warn subsystem=logging event=lines-left-out count=${this.droppedLines}\n`
      this.droppedLines = 0
    }
    this.buffer += `${line}\n`
    this.flush()
  }

  /** Resolves when all accepted lines are written. */
  async waitUntilFlushed (): Promise<void> {
    while (this.writing) await this.clock.sleep(1)
  }

  private takeToken (): boolean {
    const now = this.clock.now()
    this.tokens = Math.min(maxBurstLines, this.tokens + (now - this.refilledAt) * maxLinesPerSecond / 1_000)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private flush (): void {
    if (this.writing || this.buffer === '') return
    const text = this.buffer
    this.buffer = ''
    this.writing = true
    this.sink(text, () => {
      this.writing = false
      this.flush()
    })
  }
}

/** Uses the asynchronous write, which runs in the thread pool: a pipe whose reader is slow would block this thread. */
function writeToStandardOutput (text: string, done: () => void): void {
  write(1, text, done)
}
