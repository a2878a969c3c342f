/** Requests that may wait, as a multiple of those that may run. */
export const queueShare = 4

/** Shortest time in milliseconds that a refused caller is asked to stay away. */
export const leastRetryAfterMs = 100
