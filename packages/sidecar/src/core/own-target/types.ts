import type { Headers } from '../exchange/index.js'

/** A request on its way, with all that decisions need. Times are clock milliseconds. */
export interface Job {
  /** Id of the caller's attempt. */
  readonly id: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** As the sender wrote them. */
  readonly headers: Headers
  readonly body: Buffer
  readonly route: string
  readonly service: string
  /** Service on the VM where the request began. */
  readonly caller: string
  readonly idempotent: boolean
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly objectiveMs: number
  readonly priority: number
  /** No other target is better: it may wait until this one works at its usual speed. */
  readonly patient: boolean
  /** Until when an answer has its full worth. */
  readonly objectiveAt: number
  /** After this moment nobody waits for the answer. */
  readonly deadlineAt: number
}

/** Why a request did not run. */
export type NotRunCause =
  | 'closed' // the target or its node is leaving
  | 'overloaded'
  | 'slow' // the target works slowly at the moment
  | 'expired'
  | 'left' // the caller is gone
  | 'moved' // another lifetime of a target has the place
  | 'unreachable'
  | 'rejected' // by the target itself
  | 'no-memory' // bodies on their way take too much
  | 'no-target'
  | 'no-configuration'
  | 'no-budget' // a repeat would be over the budget

/** Why it can't be known whether a request ran. */
export type MayHaveRunCause = 'reset' | 'cut' | 'invalid' | 'timeout' | 'left' | 'unproven'

/** What became of a request at one target. */
export type Outcome =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Headers, readonly body: Buffer }
  | { readonly kind: 'not-run', readonly cause: NotRunCause, readonly retryAfterMs: number }
  | { readonly kind: 'may-have-run', readonly cause: MayHaveRunCause }

/** A request that did not run. */
export function notRun (cause: NotRunCause, retryAfterMs = 0): Extract<Outcome, { kind: 'not-run' }> {
  return { kind: 'not-run', cause, retryAfterMs }
}

/** A request that may have run. */
export function mayHaveRun (cause: MayHaveRunCause): Outcome {
  return { kind: 'may-have-run', cause }
}
