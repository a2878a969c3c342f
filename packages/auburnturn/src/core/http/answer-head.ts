import type { RawHeaders } from '../call/types.js'
import { countHeader, hasToken } from './headers.js'

/** Whether the framing of an answer marks its end, so that a truncated answer is detected (RFC 9112, 6.3). */
export function isFramed (method: string, status: number, headers: RawHeaders): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true
  return countHeader(headers, 'content-length') > 0 || hasToken(headers, 'transfer-encoding', 'chunked')
}

/** Decodes the raw headers of undici as Latin-1 text. */
export function decodeHeaders (rawHeaders: Buffer[]): string[] {
  const headers = new Array<string>(rawHeaders.length)
  for (let index = 0; index < rawHeaders.length; index++) headers[index] = (rawHeaders[index] as Buffer).toString('latin1')
  return headers
}
