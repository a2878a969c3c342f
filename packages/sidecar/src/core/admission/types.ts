/** A request that needs a slot of the target on this VM. Times are clock milliseconds. */
export interface SlotRequest {
  /** Lower numbers are more urgent; 0 is served first. */
  readonly priority: number
  /** When the latency objective of the request ends; an answer after this has less value. */
  readonly objectiveAt: number
  /** When the caller stops waiting for the answer. */
  readonly deadlineAt: number
  /** Expected duration on the target at its usual speed, in milliseconds. */
  readonly workMs: number
  /** Whether the request may wait for the target's usual speed or its rate limit; otherwise it is refused, and another target is tried. */
  readonly mayWait: boolean
}

/** Why a request did not get a slot. A refused request has not run. */
export type RefusalCause = 'closed' | 'overloaded' | 'rate-limited' | 'slow' | 'expired' | 'left'

/** Whether a request got a slot; times are in milliseconds. */
export type AdmissionDecision =
  | { readonly kind: 'admitted', readonly waitedMs: number }
  | { readonly kind: 'refused', readonly cause: RefusalCause, readonly retryAfterMs: number }

/** How fast a target works. */
export interface ServiceSpeed {
  /** Duration of work that starts now, relative to what the target reports as usual (1). */
  readonly slowness: number
  /** The lowest slowness in the recent past. */
  readonly usualSlowness: number
  /** Milliseconds for which the target is expected to stay slower than usual. */
  readonly expectedSlowMs: number
}

/** A slot that was requested, and may be granted later. */
export interface SlotAcquisition {
  readonly decision: Promise<AdmissionDecision>
  /** Whether the request was queued because of the rate limit. */
  readonly waitsForRate: boolean
  /** Removes the request from the queue; does nothing once it is decided. */
  cancel (): void
}
