import type { Answer, Headers } from '../exchange/index.js'
import type { AnswerHead } from './answer-head.js'
import { unsent } from './evidence.js'
import type { Evidence } from './evidence.js'

/** Why a request did not run. */
export type NotRunCause =
  | 'closed' // the target or its node is shutting down
  | 'overloaded' // the queue is full, or the expected wait in it is too long
  | 'rate-limited' // the rate limit of the target lets it through too late, or later than another target may run it
  | 'slow' // the target is slow at present
  | 'expired' // its deadline has passed, or it was queued for too long
  | 'left' // the caller has disconnected
  | 'moved' // another incarnation of a target uses the address
  | 'unreachable' // no connection to the target or its node
  | 'rejected' // by the target itself
  | 'no-memory' // the bodies of requests in flight take too much memory
  | 'no-target'
  | 'no-configuration'
  | 'no-budget' // a retry would exceed the budget
  | 'quarantined' // targets have crashed under this request
  | 'suspect' // it was in flight at a crash, and only the trial target of its service runs it

/**
 * Why it is unknown whether a request ran: a `LossCause`, 'crashed' if the target crashed meanwhile, or 'unproven' for an answer whose
 * status claims that the request did not run, without the header that proves it.
 */
export type MayHaveRunCause = 'reset' | 'cut' | 'invalid' | 'foreign' | 'timeout' | 'left' | 'crashed' | 'unproven'

/** Result of a request at one target. */
export type Outcome =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Headers, readonly body: Buffer }
  | { readonly kind: 'not-run', readonly cause: NotRunCause, readonly retryAfterMs: number, readonly evidence: Evidence }
  | { readonly kind: 'may-have-run', readonly cause: MayHaveRunCause }

/** The outcome of a request of which this node has written no byte, with the delay before a retry in milliseconds. */
export function notRun (cause: NotRunCause, retryAfterMs = 0): Extract<Outcome, { kind: 'not-run' }> {
  return { kind: 'not-run', cause, retryAfterMs, evidence: unsent }
}

/**
 * The outcome of a request that a target refused, with the delay before a retry in milliseconds.
 * @param answer the refusal
 * @param head what its head names
 */
export function rejected ({ status, connection }: Answer, { id: attempt, targetId: target }: AnswerHead, retryAfterMs: number): Extract<Outcome, { kind: 'not-run' }> {
  return { kind: 'not-run', cause: 'rejected', retryAfterMs, evidence: { kind: 'refusal', status, attempt, target, connection } }
}

/** The outcome of a request that may have run. */
export function mayHaveRun (cause: MayHaveRunCause): Outcome {
  return { kind: 'may-have-run', cause }
}
