/** A request that wants a slot of the own target. Times are clock milliseconds. */
export interface SlotRequest {
  /** 0 is served first. */
  readonly priority: number
  /** Until when an answer has its full worth. */
  readonly objectiveAt: number
  /** After this moment nobody waits for the answer. */
  readonly deadlineAt: number
  /** What it is expected to take on the target at its usual speed, in milliseconds. */
  readonly workMs: number
  /** May wait for the target's usual speed; else it is refused while the target is slow, to go elsewhere. */
  readonly mayWait: boolean
}

/** Why a request did not get a slot: it did not run. */
export type RefusalCause = 'closed' | 'overloaded' | 'slow' | 'expired' | 'left'

/** What became of an application. */
export type AdmissionDecision =
  | { readonly kind: 'admitted', readonly waitedMs: number }
  | { readonly kind: 'refused', readonly cause: RefusalCause, readonly retryAfterMs: number }

/** How fast a target works. */
export interface ServiceSpeed {
  /** How long work takes that starts now; 1 is what the target calls usual. */
  readonly slowness: number
  /** The least slowness of late. */
  readonly usualSlowness: number
  /** Milliseconds for which it is expected to stay slower than usual. */
  readonly expectedSlowMs: number
}
