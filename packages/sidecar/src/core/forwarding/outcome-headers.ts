import { headerNames } from 'auburnturn/core/call'
import { findHeader } from 'auburnturn/core/http'
import type { Headers } from '../exchange/index.js'
import { mayHaveRun, notRun } from '../own-target/index.js'
import type { MayHaveRunCause, NotRunCause, Outcome } from '../own-target/index.js'

/** Formats the headers that report to the previous node that a request got no answer from its target, and why. */
export function formatOutcome (outcome: Exclude<Outcome, { kind: 'answer' }>): string[] {
  const verdict = [headerNames.verdict, outcome.kind, headerNames.cause, outcome.cause]
  if (outcome.kind === 'may-have-run') return verdict
  return [...verdict, 'retry-after', formatRetryAfter(outcome.retryAfterMs)]
}

/** Parses the outcome that another node reports; undefined when the answer comes from a target. */
export function parseOutcome (headers: Headers): Outcome | undefined {
  const verdict = findHeader(headers, headerNames.verdict)
  const cause = findHeader(headers, headerNames.cause)
  if (verdict === 'not-run') return notRun(cause as NotRunCause, Number(findHeader(headers, 'retry-after') ?? 0) * 1_000)
  if (verdict === 'may-have-run') return mayHaveRun(cause as MayHaveRunCause)
  return undefined
}

/** Formats a Retry-After value in seconds, with two decimal places. */
export function formatRetryAfter (milliseconds: number): string {
  return (Math.max(0, milliseconds) / 1_000).toFixed(2)
}
