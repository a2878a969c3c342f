import type { Headers } from '../exchange/index.js'

/** A request to be forwarded, with the inputs of routing and admission. Times are clock milliseconds. */
export interface Job {
  /** Id of the caller's attempt. */
  readonly id: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers of the caller that are forwarded. */
  readonly headers: Headers
  readonly body: Buffer
  readonly route: string
  readonly service: string
  /** Service on the VM where the request originated. */
  readonly caller: string
  readonly idempotent: boolean
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number
  /** Lower numbers are more urgent; 0 is served first. */
  readonly priority: number
  /** Whether the request may wait for the target's usual speed or its rate limit; otherwise it is refused. */
  readonly mayWait: boolean
  /** When the latency objective of the request ends; an answer after this has less value. */
  readonly objectiveAt: number
  /** When the caller stops waiting for the answer. */
  readonly deadlineAt: number
}

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

/**
 * Why it is unknown whether a request ran: a `LossCause`, or 'unproven' for an answer whose status claims that the request did
 * not run, without the header that proves it.
 */
export type MayHaveRunCause = 'reset' | 'cut' | 'invalid' | 'timeout' | 'left' | 'unproven'

/** Result of a request at one target. */
export type Outcome =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Headers, readonly body: Buffer }
  | { readonly kind: 'not-run', readonly cause: NotRunCause, readonly retryAfterMs: number }
  | { readonly kind: 'may-have-run', readonly cause: MayHaveRunCause }

/** The outcome of a request that did not run, with the delay before a retry in milliseconds. */
export function notRun (cause: NotRunCause, retryAfterMs = 0): Extract<Outcome, { kind: 'not-run' }> {
  return { kind: 'not-run', cause, retryAfterMs }
}

/** The outcome of a request that may have run. */
export function mayHaveRun (cause: MayHaveRunCause): Outcome {
  return { kind: 'may-have-run', cause }
}
