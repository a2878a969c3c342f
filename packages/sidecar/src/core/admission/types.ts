/** A request that wants a slot of the own target. Times are clock milliseconds. */
export interface Applicant {
  /** 0 is served first. */
  readonly priority: number
  /** Until when an answer has its full worth. */
  readonly wantedBy: number
  /** After this moment nobody waits for the answer. */
  readonly endsAt: number
  /** What it is expected to take on the target at its usual speed, in milliseconds. */
  readonly workMs: number
}

/** Why a request did not get a slot: it did not run. */
export type Refusal = 'closed' | 'overloaded' | 'expired' | 'left'

/** What became of an application. */
export type Admittance =
  | { readonly kind: 'admitted', readonly waitedMs: number }
  | { readonly kind: 'refused', readonly cause: Refusal, readonly retryAfterMs: number }
