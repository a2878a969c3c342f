import type { ServerResponse } from 'node:http'
import type { Outcome } from '../own-target/index.js'
import type { Headers } from '../exchange/index.js'

/** Writes a whole answer. */
export function respond (response: ServerResponse, status: number, headers: Headers, body: Buffer): void {
  if (response.destroyed || response.writableEnded) return
  response.sendDate = false
  const bare = response.req.method === 'HEAD' || status === 204 || status === 304
  response.writeHead(status, bare ? [...headers] : [...headers, 'content-length', String(body.length)])
  response.end(bare ? undefined : body)
}

/** The status that tells a caller truthfully what became of its request. */
export function chooseStatus (outcome: Exclude<Outcome, { kind: 'answer' }>): number {
  if (outcome.kind === 'not-run') return 503
  return outcome.cause === 'timeout' ? 504 : 502
}
