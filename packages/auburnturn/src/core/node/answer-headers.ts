import { headerNames } from '../call/index.js'
import type { Outcome, RawHeaders } from '../call/types.js'
import { formatLoad, viaValue } from '../http/index.js'
import type { Target } from '../target/index.js'

/** What a listener adds to answers and to refusals; only other nodes hear of load and incarnation. */
export function createAnswerHeaders ({ target, incarnation, forwarded }: AnswerHeadersOptions): AnswerHeaders {
  const nodeHeaders = (): string[] => forwarded
    ? [headerNames.load, formatLoad(target.load), headerNames.incarnation, incarnation]
    : ['via', viaValue]
  return {
    answerHeaders: () => [...nodeHeaders(), headerNames.verdict, 'done'],
    refusalHeaders: ({ successor, triedTargets: way, retriesExhausted: exhausted }) => [
      ...nodeHeaders(),
      ...(successor === undefined ? [] : [headerNames.ticket, successor]),
      ...(way === undefined ? [] : [headerNames.triedTargets, way]),
      ...(exhausted === true ? [headerNames.retry, 'no'] : [])
    ]
  }
}

interface AnswerHeaders {
  readonly answerHeaders: () => RawHeaders
  readonly refusalHeaders: (outcome: Outcome) => RawHeaders
}

interface AnswerHeadersOptions {
  readonly target: Target
  readonly incarnation: string
  /** Whether the listener is the one for other nodes. */
  readonly forwarded: boolean
}
