import type { Answer, RawHeaders } from '../call/types.js'
import { maxAnswerBytes } from './constants.js'

/** An answer buffered in memory, up to `maxAnswerBytes`. */
export class BufferedAnswer implements Answer {
  started = false
  /** True once the last byte has arrived and the answer was neither aborted nor too long. */
  complete = false
  status = 0
  headers: RawHeaders = []
  private readonly chunks: Uint8Array[] = []
  private readonly cancel: () => void
  private bytes = 0

  private constructor (cancel: () => void) {
    this.cancel = cancel
  }

  /** `cancel` is called when the answer exceeds `maxAnswerBytes`. */
  static create (cancel: () => void): BufferedAnswer {
    return new BufferedAnswer(cancel)
  }

  get body (): Uint8Array {
    return Buffer.concat(this.chunks)
  }

  writeInformational (): void {}

  writeHead (status: number, _reason: string, headers: RawHeaders): void {
    this.started = true
    this.status = status
    this.headers = headers
  }

  writeData (chunk: Uint8Array): undefined {
    this.bytes += chunk.length
    if (this.bytes > maxAnswerBytes) this.cancel()
    else this.chunks.push(chunk)
  }

  end (): void {
    this.complete = this.bytes <= maxAnswerBytes
  }

  cut (): void {
    this.complete = false
  }
}
