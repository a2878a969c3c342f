/** Most requests that may be queued, as a multiple of the slots. */
export const maxQueuedPerSlot = 4

/** Shortest retry delay that a refused caller is given, in milliseconds. */
export const minRetryAfterMs = 100

/** Weight of a new request in the moving average of work. */
export const meanWorkWeight = 0.05

/**
 * Share of the time to its deadline for which a request stays queued after it can no longer meet its objective. Then it is
 * refused, and the caller is told when to retry.
 */
export const overdueWaitShare = 0.2

/** Longest time in milliseconds that a request is held back until the target works at its usual speed. */
export const maxHoldMs = 500
