import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Answer, RawHeaders } from '../call/types.js'

/** An answer written to a caller's connection. */
export class ResponseAnswer implements Answer {
  started = false
  private readonly response: ServerResponse

  private readonly extraHeaders: () => RawHeaders

  private constructor (response: ServerResponse, extraHeaders: () => RawHeaders) {
    this.response = response
    this.extraHeaders = extraHeaders
  }

  /** `extraHeaders` is asked when the head is written. */
  static create (response: ServerResponse, extraHeaders: () => RawHeaders): ResponseAnswer {
    return new ResponseAnswer(response, extraHeaders)
  }

  inform (status: number, headers: RawHeaders): void {
    if (status === 103) this.response.writeEarlyHints(Object.fromEntries(pairHeaders(headers)))
  }

  head (status: number, reason: string, headers: RawHeaders): void {
    this.started = true
    this.response.writeHead(status, reason, [...headers, ...this.extraHeaders()])
  }

  data (chunk: Uint8Array): Promise<void> | undefined {
    if (this.response.write(chunk) || this.response.destroyed) return undefined
    return Promise.race([once(this.response, 'drain'), once(this.response, 'close')]).then(() => {})
  }

  end (trailers: RawHeaders): void {
    if (trailers.length > 0) this.response.addTrailers(pairHeaders(trailers))
    this.response.end()
  }

  cut (): void {
    this.response.destroy()
  }
}

function pairHeaders (headers: RawHeaders): Array<[string, string]> {
  const pairs: Array<[string, string]> = []
  for (let index = 0; index < headers.length; index += 2) pairs.push([headers[index] as string, headers[index + 1] as string])
  return pairs
}
