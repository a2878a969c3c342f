import { write } from 'node:fs'
import type { Clock } from 'auburnturn/core/clock'
import { maxBurstLines, maxLinesPerSecond, maxBufferedCharacters } from './constants.js'

/** Writes text to where it belongs, and calls back when it may get more. */
export type Sink = (text: string, done: () => void) => void

/**
 * Writes lines without waiting for their reader. Over its rate, or while the reader is slow, lines are left out,
 * and a line says how many.
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

  /** Takes a line without its end. */
  write (line: string): void {
    if (!this.takeToken() || this.buffer.length > maxBufferedCharacters) {
      this.droppedLines++
      return
    }
    if (this.droppedLines > 0) {
      this.buffer += `level=warn subsystem=logging event=lines-left-out count=${this.droppedLines}\n`
      this.droppedLines = 0
    }
    this.buffer += `${line}\n`
    this.flush()
  }

  /** Resolves when all that was taken is written. */
  async flushed (): Promise<void> {
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

/** Hands the text to a thread, since a pipe whose reader is slow would block this one. */
function writeToStandardOutput (text: string, done: () => void): void {
  write(1, text, done)
}
