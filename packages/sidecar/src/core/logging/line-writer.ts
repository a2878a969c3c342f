import { write } from 'node:fs'
import type { Clock } from 'auburnturn/core/clock'
import { burstLines, linesPerSecond, maxWaitingLength } from './constants.js'

/** Writes text to where it belongs, and calls back when it may get more. */
export type Sink = (text: string, done: () => void) => void

/**
 * Writes lines without waiting for their reader. Over its rate, or while the reader is slow, lines are left out,
 * and a line says how many.
 */
export class LineWriter {
  private readonly clock: Clock
  private readonly sink: Sink
  private waiting = ''
  private writing = false
  private allowance = burstLines
  private allowedAt: number
  private leftOut = 0

  private constructor (clock: Clock, sink: Sink) {
    this.clock = clock
    this.sink = sink
    this.allowedAt = clock.now()
  }

  /** Writes to standard output unless another sink is given. */
  static create ({ clock, sink = writeToStandardOutput }: { clock: Clock, sink?: Sink }): LineWriter {
    return new LineWriter(clock, sink)
  }

  /** Takes a line without its end. */
  write (line: string): void {
    if (!this.takeAllowance() || this.waiting.length > maxWaitingLength) {
      this.leftOut++
      return
    }
    if (this.leftOut > 0) {
      this.waiting += `level=warn subsystem=logging event=lines-left-out count=${this.leftOut}\n`
      this.leftOut = 0
    }
    this.waiting += `${line}\n`
    this.flush()
  }

  /** Resolves when all that was taken is written. */
  async flushed (): Promise<void> {
    while (this.writing) await this.clock.sleep(1)
  }

  private takeAllowance (): boolean {
    const now = this.clock.now()
    this.allowance = Math.min(burstLines, this.allowance + (now - this.allowedAt) * linesPerSecond / 1_000)
    this.allowedAt = now
    if (this.allowance < 1) return false
    this.allowance--
    return true
  }

  private flush (): void {
    if (this.writing || this.waiting === '') return
    const text = this.waiting
    this.waiting = ''
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
