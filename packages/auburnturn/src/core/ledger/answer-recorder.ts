import { BodyBuffer } from '../bodies/index.js'
import type { Answer, RawHeaders } from '../call/types.js'
import { headerNames } from '../call/index.js'
import type { RecordedAnswer } from './types.js'

/** Forwards an answer and records a copy of it as long as its body does not exceed `limitBytes`. */
export class AnswerRecorder implements Answer {
  started = false
  private readonly answer: Answer
  private readonly limitBytes: number
  private readonly body = BodyBuffer.create()
  private discarded = false
  private status = 0
  private reason = ''
  private headers: RawHeaders = []
  private trailers: RawHeaders | undefined

  private constructor (answer: Answer, limitBytes: number) {
    this.answer = answer
    this.limitBytes = limitBytes
  }

  static create (answer: Answer, limitBytes: number): AnswerRecorder {
    return new AnswerRecorder(answer, limitBytes)
  }

  writeInformational (status: number, headers: RawHeaders): void {
    this.answer.writeInformational(status, headers)
  }

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    this.started = true
    this.status = status
    this.reason = reason
    this.headers = headers
    this.answer.writeHead(status, reason, headers)
  }

  writeData (chunk: Uint8Array): Promise<void> | undefined {
    this.recordChunk(chunk)
    return this.answer.writeData(chunk)
  }

  end (trailers: RawHeaders): void {
    this.trailers = trailers
    this.answer.end(trailers)
  }

  cut (): void {
    this.discarded = true
    this.answer.cut()
  }

  /** The complete answer; undefined if it has not ended, was aborted or exceeded the limit. */
  get recorded (): RecordedAnswer | undefined {
    if (this.discarded || this.trailers === undefined) return undefined
    const { status, reason, headers, trailers } = this
    return { status, reason, headers, trailers, body: this.body.toBuffer() }
  }

  private recordChunk (chunk: Uint8Array): void {
    if (this.discarded) return
    // The connection's reader may reuse the memory of the chunk.
    this.body.add(Uint8Array.from(chunk))
    if (this.body.length <= this.limitBytes) return
    this.discarded = true
    this.body.clear()
  }
}

/** Writes a recorded answer with the header that marks it as recorded. */
export function replayAnswer (recorded: RecordedAnswer, answer: Answer): void {
  answer.writeHead(recorded.status, recorded.reason, [...recorded.headers, headerNames.recorded, 'yes'])
  if (recorded.body.length > 0) answer.writeData(recorded.body)?.catch(() => {})
  answer.end(recorded.trailers)
}
