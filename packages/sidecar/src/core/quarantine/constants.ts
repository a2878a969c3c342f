/** Requests that are lost within this time of the first one, in milliseconds, belong to the same end of a target. */
export const lossWindowMs = 50

/** A sign that comes later than this after the loss, in milliseconds, does not show that the target ended with it. */
export const crashConfirmationMs = 2_000

/** How long a target may still work on a request that its node has given up, in milliseconds. */
export const abandonedWorkMs = 1_000

/** Maximum number of given up requests that are remembered. */
export const maxAbandonedRequests = 64
