/** Shortest time between two health checks, in milliseconds: used while a request is queued, or while the target is unusable. */
export const minProbeIntervalMs = 50

/** Time between two health checks while the target is slow, in milliseconds: other nodes use it again once that ends. */
export const slowTargetProbeIntervalMs = 150

/**
 * Time between two health checks while no request is queued and the target works at its usual speed, in milliseconds. It can be
 * long, since each request that arrives refreshes the load.
 */
export const idleProbeIntervalMs = 500

/** An arriving request refreshes the target's load when the last report is older than this, in milliseconds. */
export const maxLoadAgeMs = 50

/** Longest time that a request waits for this refresh, in milliseconds. */
export const refreshTimeoutMs = 25

/** Share of the allowed health checks that is used. */
export const usableProbeShare = 0.8

/** A health check that takes longer, in milliseconds, counts as unanswered. */
export const probeTimeoutMs = 500

/** Unanswered health checks after which the target counts as down. */
export const unansweredProbesUntilDown = 2

/** Longest time to open a connection to the target on this VM, in milliseconds. */
export const connectTimeoutMs = 300

/** Most connections to the target on this VM; the target's own bound is far above its slots. */
export const maxConnections = 64

/**
 * A request that isn't idempotent uses no connection that was idle for longer, in milliseconds: the target may have dropped
 * the connection, and then it is unknown whether the request ran.
 */
export const maxNonIdempotentIdleMs = 150

/** Expected work of a route without measurements, as a share of its objective. */
export const initialWorkShare = 0.37

/** Weight of a new measurement in the moving average of a route's work. */
export const workWeight = 0.1

/** Amount that an unhealthy target adds to its reported share of failures. */
export const unhealthyFailureShare = 0.3

/** How long a target that has just started is reported as fresh, in milliseconds. */
export const freshDurationMs = 6_000

/** Slots of a target that has not reported them. */
export const defaultSlots = 8

/** Retry delay after a target has rejected a request because it was full, in milliseconds: about when a slot becomes free. */
export const rejectedRetryAfterMs = 200

/** Expected length of a slow period before one was observed, in milliseconds. */
export const initialSlowPeriodMs = 400

/** Weight of a new measurement in the moving average of slow periods. */
export const slowPeriodWeight = 0.2

/** Half of the time whose lowest slowness counts as usual, in milliseconds. */
export const usualSlownessWindowMs = 800
