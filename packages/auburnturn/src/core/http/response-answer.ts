import type { ServerResponse } from 'node:http'
import type { Answer, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'

/** Writes an answer to the connection of a caller. */
export class ResponseAnswer implements Answer {
  started = false
  private readonly response: ServerResponse
  private readonly options: ResponseAnswerOptions

  private constructor (response: ServerResponse, options: ResponseAnswerOptions) {
    this.response = response
    this.options = options
  }

  static create (response: ServerResponse, options: ResponseAnswerOptions): ResponseAnswer {
    return new ResponseAnswer(response, options)
  }

  writeInformational (status: number, headers: RawHeaders): void {
    if (this.response.req.httpVersionMinor === 0 || this.started) return
    if (status === 102) this.response.writeProcessing()
    if (status === 103) this.sendEarlyHints(headers)
  }

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    const extraHeaders = this.options.createExtraHeaders()
    this.response.writeHead(status, reason, extraHeaders.length === 0 ? headers as string[] : [...headers, ...extraHeaders])
    this.started = true
  }

  writeData (chunk: Uint8Array): Promise<void> | undefined {
    if (this.response.write(chunk) || this.response.destroyed) return undefined
    return this.waitUntilWritable()
  }

  end (trailers: RawHeaders): void {
    if (trailers.length > 0) this.response.addTrailers(toHeaderPairs(trailers))
    this.response.end()
  }

  cut (): void {
    // Without chunked coding, an HTTP/1.0 caller interprets a close as the end of the answer, but not a reset.
    const { socket, req } = this.response
    // Node never closes a socket that is reset while its end is under way.
    if (req.httpVersionMinor === 0 && socket?.writableEnded === false) socket.resetAndDestroy()
    this.response.destroy()
  }

  /** Resolves when more may be written or the response is closed; aborts the answer after `callerIdleMs` without progress. */
  private async waitUntilWritable (): Promise<void> {
    const { response } = this
    const { clock, callerIdleMs } = this.options
    await new Promise<void>(resolve => {
      const timer = clock.timerWheel.after(callerIdleMs, () => { this.cut() })
      const finish = (): void => {
        timer.cancel()
        response.off('drain', finish)
        response.off('close', finish)
        resolve()
      }
      response.on('drain', finish)
      response.on('close', finish)
    })
  }

  private sendEarlyHints (headers: RawHeaders): void {
    const hints: Record<string, string[]> = {}
    for (const [name, value] of toHeaderPairs(headers)) (hints[name.toLowerCase()] ??= []).push(value)
    try {
      this.response.writeEarlyHints(hints)
    } catch {
      // Early hints are optional, and Node.js rejects some valid ones.
    }
  }
}

function toHeaderPairs (headers: RawHeaders): Array<[string, string]> {
  const pairs: Array<[string, string]> = []
  for (let index = 0; index < headers.length; index += 2) pairs.push([headers[index] as string, headers[index + 1] as string])
  return pairs
}

interface ResponseAnswerOptions {
  readonly clock: Clock
  /** Maximum time without the caller reading from the answer. */
  readonly callerIdleMs: number
  /** Returns the headers to add; called when the head is written. */
  readonly createExtraHeaders: () => RawHeaders
}
