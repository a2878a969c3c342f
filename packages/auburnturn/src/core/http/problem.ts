import { headerNames } from '../call/index.js'
import type { MayHaveRun, MayHaveRunCause, NotRun, NotRunCause } from '../verdict/index.js'

/** An answer that refuses a call, with a body of RFC 9457 problem details. */
export interface Problem {
  readonly status: number
  readonly headers: string[]
  readonly body: Buffer
}

/** HTTP status per cause for a request that did not run; listed in docs/INTERFACE.md. */
export const notRunStatus: Readonly<Record<NotRunCause, number>> = {
  'admission-closed': 503,
  overloaded: 503,
  'queue-timeout': 503,
  'deadline-expired': 504,
  quarantined: 503,
  'unknown-service': 404,
  'no-target': 503,
  'connect-failed': 503,
  'connection-unavailable': 503,
  'bad-request': 400,
  'ticket-refused': 409,
  'caller-gone': 499,
  'caller-idle': 408,
  'body-too-large': 413
}

/** HTTP status per cause for a request that may have run; listed in docs/INTERFACE.md. */
export const mayHaveRunStatus: Readonly<Record<MayHaveRunCause, number>> = {
  'connection-lost': 502,
  'answer-cut': 502,
  'answer-invalid': 502,
  timeout: 504,
  'caller-gone': 499,
  'ticket-running': 409,
  'ticket-lost': 502,
  'upstream-crashed': 502,
  'caller-idle': 408,
  'body-too-large': 413,
  'bad-request': 400
}

/** Causes that are temporary; the refusal allows a retry after one second. */
const retryAfterCauses = new Set<string>(['admission-closed', 'overloaded', 'queue-timeout', 'connection-unavailable'])

/** Creates the refusal of a call that has no answer from an upstream. */
export function createProblem (verdict: NotRun | MayHaveRun, { detail, status = findStatus(verdict) }: ProblemOptions = {}): Problem {
  const body = Buffer.from(JSON.stringify({
    type: `urn:auburnturn:${verdict.cause}`,
    title: verdict.kind === 'not-run' ? 'The request did not run' : 'The request may have run',
    status,
    verdict: verdict.kind,
    cause: verdict.cause,
    ...(detail === undefined ? {} : { detail })
  }))
  const headers = [
    'content-type', 'application/problem+json',
    'content-length', String(body.length),
    headerNames.verdict, verdict.kind,
    headerNames.cause, verdict.cause
  ]
  if (verdict.kind === 'not-run' && retryAfterCauses.has(verdict.cause)) headers.push('retry-after', '1')
  return { status, headers, body }
}

function findStatus (verdict: NotRun | MayHaveRun): number {
  return verdict.kind === 'not-run' ? notRunStatus[verdict.cause] : mayHaveRunStatus[verdict.cause]
}

interface ProblemOptions {
  /** Explanation for a person. */
  readonly detail?: string
  /** Replaces the usual status of the cause where another one is more specific. */
  readonly status?: number
}
