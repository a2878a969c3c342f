/** Maximum length of the queue, as a multiple of the number of slots; short requests may exceed it. */
export const maxQueuedPerSlot = 4

/** Minimum retry delay of a refused request, in milliseconds. */
export const minRetryAfterMs = 100

/** Weight of a new request in the moving average of work. */
export const meanWorkWeight = 0.05

/**
 * Share of the time to its deadline for which a request stays queued after it can no longer meet its objective. Then it is
 * refused with a retry delay.
 */
export const overdueWaitShare = 0.2

/**
 * Maximum time in milliseconds that a request is held back until the target works at its usual speed, if it can meet its
 * deadline at the present speed.
 */
export const maxHoldMs = 500
