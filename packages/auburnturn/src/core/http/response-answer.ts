import type { ServerResponse } from 'node:http'
import type { Answer, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'

/** An answer written to a caller's connection. */
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

  inform (status: number, headers: RawHeaders): void {
    if (this.response.req.httpVersionMinor === 0 || this.started) return
    if (status === 102) this.response.writeProcessing()
    if (status === 103) this.sendHints(headers)
  }

  head (status: number, reason: string, headers: RawHeaders): void {
    const extra = this.options.headers()
    this.response.writeHead(status, reason, extra.length === 0 ? headers as string[] : [...headers, ...extra])
    this.started = true
  }

  data (chunk: Uint8Array): Promise<void> | undefined {
    if (this.response.write(chunk) || this.response.destroyed) return undefined
    return this.drained()
  }

  end (trailers: RawHeaders): void {
    if (trailers.length > 0) this.response.addTrailers(pairHeaders(trailers))
    this.response.end()
  }

  cut (): void {
    // Without chunks a close looks like the end of the answer to an HTTP/1.0 caller; a reset does not.
    if (this.response.req.httpVersionMinor === 0) this.response.socket?.resetAndDestroy()
    this.response.destroy()
  }

  /** Resolves when more may be written, or never more; cuts off a caller that takes nothing for too long. */
  private async drained (): Promise<void> {
    const { response } = this
    const { clock, idleMs } = this.options
    await new Promise<void>(resolve => {
      const timer = clock.timerWheel.after(idleMs, () => { this.cut() })
      const settle = (): void => {
        timer.cancel()
        response.off('drain', settle)
        response.off('close', settle)
        resolve()
      }
      response.on('drain', settle)
      response.on('close', settle)
    })
  }

  private sendHints (headers: RawHeaders): void {
    const hints: Record<string, string[]> = {}
    for (const [name, value] of pairHeaders(headers)) (hints[name.toLowerCase()] ??= []).push(value)
    try {
      this.response.writeEarlyHints(hints)
    } catch {
      // Hints are optional, and Node.js refuses some that are allowed.
    }
  }
}

function pairHeaders (headers: RawHeaders): Array<[string, string]> {
  const pairs: Array<[string, string]> = []
  for (let index = 0; index < headers.length; index += 2) pairs.push([headers[index] as string, headers[index + 1] as string])
  return pairs
}

interface ResponseAnswerOptions {
  readonly clock: Clock
  /** Longest time in milliseconds in which the caller takes nothing of the answer. */
  readonly idleMs: number
  /** Headers to add; asked when the head is written. */
  readonly headers: () => RawHeaders
}
