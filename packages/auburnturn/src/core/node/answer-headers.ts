import { headerNames } from '../call/index.js'
import type { Outcome, RawHeaders } from '../call/types.js'
import { findHeader, formatLoad, viaValue } from '../http/index.js'
import type { Target } from '../target/index.js'

/** Creates the headers that a listener adds to answers and refusals. Load and incarnation are sent to other nodes only. */
export function createAnswerHeaders ({ target, incarnation, forwarded }: AnswerHeadersOptions): AnswerHeaders {
  const commonHeaders = (): string[] => forwarded
    ? [headerNames.load, formatLoad(target.load), headerNames.incarnation, incarnation]
    : ['via', viaValue]
  return {
    answerHeaders: () => [...commonHeaders(), headerNames.verdict, 'done'],
    refusalHeaders: ({ successor, triedTargets: tried, retriesExhausted: exhausted }) => [
      ...commonHeaders(),
      ...(successor === undefined ? [] : [headerNames.ticket, successor]),
      ...(tried === undefined ? [] : [headerNames.triedTargets, tried]),
      ...(exhausted === true ? [headerNames.retry, 'no'] : [])
    ],
    repeatedHeaders: requestHeaders => forwarded ? repeatSend(requestHeaders) : []
  }
}

/** The number of the send, by which the other node knows what is answered. */
function repeatSend (requestHeaders: RawHeaders): RawHeaders {
  const number = findHeader(requestHeaders, headerNames.send)
  return number === undefined ? [] : [headerNames.send, number]
}

interface AnswerHeaders {
  readonly answerHeaders: () => RawHeaders
  readonly refusalHeaders: (outcome: Outcome) => RawHeaders
  readonly repeatedHeaders: (requestHeaders: RawHeaders) => RawHeaders
}

interface AnswerHeadersOptions {
  readonly target: Target
  readonly incarnation: string
  /** Whether the listener serves other nodes and not callers. */
  readonly forwarded: boolean
}
