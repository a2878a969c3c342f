/** Time between two health checks while a request waits for the target, or while it is not in use, in milliseconds. */
export const minProbeIntervalMs = 50

/** The same while the target is slow: others come back to it when that ends. */
export const slowTargetProbeIntervalMs = 150

/** The same while nothing waits and the target works at its usual pace: each request that starts asks anew. */
export const idleProbeIntervalMs = 500

/** A request that comes asks for the target's load when what is known of it is older, in milliseconds. */
export const maxLoadAgeMs = 50

/** Longest time that a request waits for the answer to that, in milliseconds. */
export const refreshTimeoutMs = 25

/** Share of the allowed health checks that is used. */
export const usableProbeShare = 0.8

/** A health check that takes longer, in milliseconds, counts as unanswered. */
export const probeTimeoutMs = 500

/** Unanswered health checks after which the target counts as down. */
export const unansweredProbesUntilDown = 2

/** Longest time for a connection to the own target, in milliseconds. */
export const connectTimeoutMs = 300

/** Most connections to the own target; its bound is far above its slots. */
export const maxConnections = 64

/**
 * What must not be repeated goes over no connection that was idle for longer, in milliseconds: a target may have
 * forgotten it, and then nobody knows whether the request ran.
 */
export const maxNonIdempotentIdleMs = 150

/** Expected work of a route that was not seen yet, as a share of its objective. */
export const initialWorkShare = 0.37

/** Weight of a new measurement in the moving mean of a route's work. */
export const workWeight = 0.1

/** Share of failures that a failing health check stands for. */
export const unhealthyFailureShare = 0.3

/** How long a target that has just started is reported as such, in milliseconds. */
export const freshDurationMs = 6_000

/** Slots of a target that has not told them. */
export const defaultSlots = 8

/** A place is free at a target that was full after about this long, in milliseconds. */
export const rejectedRetryAfterMs = 200

/** Expected length of a slow time before one was seen, in milliseconds. */
export const initialSlowPeriodMs = 400

/** Weight of a new measurement in the moving mean of slow times. */
export const slowPeriodWeight = 0.2

/** Half of the time over which the least slowness counts as usual, in milliseconds. */
export const usualSlownessWindowMs = 800
