import type { ServerResponse } from 'node:http'
import type { Headers } from '../exchange/index.js'
import type { Outcome } from '../requests/index.js'

/** Sends a whole answer, unless the response has ended or its connection is closed. */
export function respond (response: ServerResponse, status: number, headers: Headers, body: Buffer): void {
  if (response.destroyed || response.writableEnded) return
  response.sendDate = false
  const hasNoBody = response.req.method === 'HEAD' || status === 204 || status === 304
  response.writeHead(status, hasNoBody ? [...headers] : [...headers, 'content-length', String(body.length)])
  response.end(hasNoBody ? undefined : body)
}

/**
 * Chooses the HTTP status for a request without an answer, so that the caller can tell whether it may have run: 503 when
 * it did not; otherwise 504 after a timeout, else 502.
 */
export function chooseStatus (outcome: Exclude<Outcome, { kind: 'answer' }>): number {
  if (outcome.kind === 'not-run') return 503
  return outcome.cause === 'timeout' ? 504 : 502
}
