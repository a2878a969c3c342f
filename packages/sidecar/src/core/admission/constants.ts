/** Requests that may wait, as a multiple of those that may run. */
export const maxQueuedPerSlot = 4

/** Shortest time in milliseconds that a refused caller is asked to stay away. */
export const minRetryAfterMs = 100

/** Weight of a new request in the moving mean of work. */
export const meanWorkWeight = 0.05

/** Share of its time for which a request waits on once its answer has lost worth: then it is told to come back. */
export const overdueWaitShare = 0.2

/** Longest time in milliseconds that a request waits for the target's usual speed. */
export const maxHoldMs = 500
