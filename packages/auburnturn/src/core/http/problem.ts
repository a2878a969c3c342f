import { headerNames } from '../call/index.js'
import type { MayHaveRun, NotRun } from '../verdict/index.js'

/** A refusal as RFC 9457 problem details. */
export interface Problem {
  readonly status: number
  readonly headers: string[]
  readonly body: Buffer
}

const statusOfCause: Record<string, number> = {
  'bad-request': 400,
  'unknown-service': 404,
  'ticket-running': 409,
  'ticket-refused': 409,
  timeout: 504,
  'deadline-expired': 504,
  'answer-cut': 502,
  'connection-lost': 502,
  'upstream-crashed': 502,
  'ticket-lost': 502
}

/** The refusal of a call that has no answer of an upstream. */
export function createProblem (verdict: NotRun | MayHaveRun, detail?: string): Problem {
  const status = statusOfCause[verdict.cause] ?? 503
  const body = Buffer.from(JSON.stringify({
    type: `urn:auburnturn:${verdict.cause}`,
    title: verdict.kind === 'not-run' ? 'The request did not run' : 'The request may have run',
    status,
    verdict: verdict.kind,
    ...(detail === undefined ? {} : { detail })
  }))
  const headers = [
    'content-type', 'application/problem+json',
    'content-length', String(body.length),
    headerNames.verdict, verdict.kind,
    headerNames.cause, verdict.cause
  ]
  return { status, headers, body }
}
