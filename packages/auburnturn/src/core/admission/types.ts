import type { NotRunCause, Verdict } from '../verdict/index.js'

/** The answer to a call that asks to run. */
export type Admittance =
  | {
    readonly kind: 'admitted'
    /** Gives the slot back; to be called exactly once. */
    readonly release: (verdict: Verdict, latencyMs: number) => void
  }
  | { readonly kind: 'refused', readonly cause: NotRunCause }
