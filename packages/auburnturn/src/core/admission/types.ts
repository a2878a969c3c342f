import type { NotRunCause, Verdict } from '../verdict/index.js'

/** The answer to a call that asks to run. */
export type AdmissionResult =
  | {
    readonly kind: 'admitted'
    /** Gives the slot back; to be called exactly once. */
    readonly release: (verdict: Verdict, latencyMs: number) => void
  }
  | {
    readonly kind: 'refused'
    readonly cause: NotRunCause
    /** In place of "not run" for the cause, when an earlier sending of the request may have run. */
    readonly verdict?: Verdict
  }

/** A call that waits for a slot. */
export interface Waiter {
  readonly caller: string
  /** Rank of the call's class; lower is served first. */
  readonly rank: number
  /** Clock milliseconds at which waiting is pointless. */
  readonly deadline: number
  readonly resolve: (admittance: AdmissionResult) => void
}
