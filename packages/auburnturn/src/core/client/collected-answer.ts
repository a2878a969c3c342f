import type { Answer, RawHeaders } from '../call/types.js'
import { maxAnswerBytes } from './constants.js'

/** An answer collected in memory. */
export class CollectedAnswer implements Answer {
  started = false
  /** Set once the last byte arrived and nothing was cut. */
  whole = false
  status = 0
  headers: RawHeaders = []
  private readonly chunks: Uint8Array[] = []
  private readonly giveUp: () => void
  private bytes = 0

  private constructor (giveUp: () => void) {
    this.giveUp = giveUp
  }

  /** `giveUp` is called when the answer grows too long to hold. */
  static create (giveUp: () => void): CollectedAnswer {
    return new CollectedAnswer(giveUp)
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
    if (this.bytes > maxAnswerBytes) this.giveUp()
    else this.chunks.push(chunk)
  }

  end (): void {
    this.whole = this.bytes <= maxAnswerBytes
  }

  cut (): void {
    this.whole = false
  }
}
