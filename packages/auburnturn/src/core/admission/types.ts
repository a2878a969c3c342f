import type { NotRunCause, Verdict } from '../verdict/index.js'

/** The result of requesting admission for a call. */
export type AdmissionDecision =
  | {
    readonly kind: 'admitted'
    /** Frees the slot. Call it exactly once, with the service time in milliseconds. */
    readonly release: (verdict: Verdict, latencyMs: number) => void
  }
  | {
    readonly kind: 'refused'
    readonly cause: NotRunCause
    /** Replaces the verdict "not run" for `cause` when an earlier attempt at the request may have run. */
    readonly verdict?: Verdict
  }

/** A queued call that waits for a slot. */
export interface Waiter {
  readonly caller: string
  /** Rank of the call's class; lower is served first. */
  readonly rank: number
  /** Clock milliseconds after which the call stops waiting. */
  readonly deadline: number
  /** Ends the wait with a result. */
  readonly settle: (result: AdmissionDecision) => void
}
