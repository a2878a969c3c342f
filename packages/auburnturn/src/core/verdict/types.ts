/** Why a request is known not to have run. */
export type NotRunCause =
  | 'admission-closed' // starting or draining
  | 'overloaded'
  | 'queue-timeout'
  | 'deadline-expired'
  | 'quarantined'
  | 'unknown-service'
  | 'no-target'
  | 'connect-failed'
  | 'bad-request'
  | 'ticket-refused'
  | 'caller-gone'
  | 'caller-idle' // the caller stopped sending its request
  | 'body-too-large'
  | 'connection-unavailable' // no connection to the target was free in time

/** Why it cannot be known whether a request ran. */
export type MayHaveRunCause =
  | 'connection-lost'
  | 'answer-cut'
  | 'timeout'
  | 'caller-gone'
  | 'ticket-running'
  | 'ticket-lost' // the incarnation or the record that knew is gone
  | 'upstream-crashed'
  | 'answer-invalid' // not HTTP/1.1, or without a framing that shows where it ends
  | 'caller-idle'
  | 'body-too-large'
  | 'bad-request' // the request body broke after its head had been sent on

/** Said only with proof that nothing of the request ran. */
export interface NotRun { readonly kind: 'not-run', readonly cause: NotRunCause }

/** The request may have run, wholly or in part. */
export interface MayHaveRun { readonly kind: 'may-have-run', readonly cause: MayHaveRunCause }

/** The request ran and its whole answer arrived. */
export interface Done { readonly kind: 'done' }

export type Verdict = NotRun | MayHaveRun | Done
