/** Requests per second while a target names no limit. */
export const unlimited = Infinity

/** Length of the window in which the requests sent to a target are counted for logs, in milliseconds. */
export const sentWindowMs = 4_000

/** Time whose requests a target with a rate limit takes at once after a pause, in milliseconds. */
export const burstMs = 1_000

/** Minimum time between two log lines about a limit that binds, in milliseconds. */
export const boundLogIntervalMs = 1_000
