/** Why a request is known not to have run. */
export type NotRunCause =
  | 'admission-closed' // the target is starting or draining
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
  | 'connection-unavailable' // no connection to the target became free in time

/** Why it is unknown whether a request ran. */
export type MayHaveRunCause =
  | 'connection-lost'
  | 'answer-cut'
  | 'timeout'
  | 'caller-gone'
  | 'ticket-running'
  | 'ticket-lost' // the incarnation that issued the ticket, or its record of the ticket, no longer exists
  | 'upstream-crashed'
  | 'answer-invalid' // not HTTP/1.1, or without framing that determines its end
  | 'caller-idle'
  | 'body-too-large'
  | 'bad-request' // the request body became invalid after its head had been forwarded

/** Given only with proof that no part of the request ran. */
export interface NotRun { readonly kind: 'not-run', readonly cause: NotRunCause }

/** The request may have run, completely or in part. */
export interface MayHaveRun { readonly kind: 'may-have-run', readonly cause: MayHaveRunCause }

/** The request ran and its complete answer arrived. */
export interface Done { readonly kind: 'done' }

/** Whether a request ran, as far as this is known. */
export type Verdict = NotRun | MayHaveRun | Done
