/** Maximum length of the queue, as a multiple of the number of slots; short requests may exceed it. */
export const maxQueuedPerSlot = 4

/** Weight of a new request in the moving average of work. */
export const meanWorkWeight = 0.05

/** Maximum Retry-After of a target that takes no requests at present, in milliseconds. */
export const maxRetryAfterMs = 60_000

/** How long a request that runs alone waits for those that run before it, in milliseconds, while no other request starts. */
export const maxDrainMs = 300
