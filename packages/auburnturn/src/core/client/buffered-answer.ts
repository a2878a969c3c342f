import { BodyBuffer } from '../bodies/index.js'
import type { Answer, RawHeaders } from '../call/types.js'
import { maxAnswerBytes } from './constants.js'

/** An answer buffered in memory, up to `maxAnswerBytes`. */
export class BufferedAnswer implements Answer {
  started = false
  /** True once the last byte has arrived and the answer was neither aborted nor too long. */
  complete = false
  status = 0
  headers: RawHeaders = []
  private readonly buffer = BodyBuffer.create()
  private readonly cancel: () => void

  private constructor (cancel: () => void) {
    this.cancel = cancel
  }

  /** `cancel` is called when the answer exceeds `maxAnswerBytes`. */
  static create (cancel: () => void): BufferedAnswer {
    return new BufferedAnswer(cancel)
  }

  get body (): Uint8Array {
    return this.buffer.toBuffer()
  }

  writeInformational (): void {}

  writeHead (status: number, _reason: string, headers: RawHeaders): void {
    this.started = true
    this.status = status
    this.headers = headers
  }

  writeData (chunk: Uint8Array): undefined {
    this.buffer.add(chunk)
    if (this.buffer.length > maxAnswerBytes) this.cancel()
  }

  end (): void {
    this.complete = this.buffer.length <= maxAnswerBytes
  }

  cut (): void {
    this.complete = false
  }
}
