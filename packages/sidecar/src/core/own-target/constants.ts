/** Minimum time between two health checks, in milliseconds; used while a request is queued or the target is unreachable. */
export const minProbeIntervalMs = 50

/** Time between two health checks while the target is slow, in milliseconds: other nodes use it again once that has ended. */
export const slowTargetProbeIntervalMs = 150

/**
 * Time between two health checks while no request is queued and the target works at its usual speed, in milliseconds. It can be
 * long, since a request that arrives refreshes an old load report.
 */
export const idleProbeIntervalMs = 500

/** A request that arrives refreshes the load if the target reported it longer ago than this, in milliseconds. */
export const maxLoadAgeMs = 50

/** Maximum time that a request waits for the refresh of the load, in milliseconds. */
export const refreshTimeoutMs = 25

/** Share of the allowed rate of health checks that is used. */
export const usableProbeShare = 0.8

/** A health check that takes longer, in milliseconds, counts as unanswered. */
export const probeTimeoutMs = 500

/** Number of consecutive unanswered health checks after which the target counts as down. */
export const unansweredProbesUntilDown = 2

/** Maximum time to open a connection to the target on this VM, in milliseconds. */
export const connectTimeoutMs = 300

/** Maximum time to check whether the target still accepts connections after it has lost one, in milliseconds. */
export const connectionCheckTimeoutMs = 100

/** Maximum number of connections to the target on this VM; the target accepts far more connections than it has slots. */
export const maxConnections = 64

/**
 * A request that isn't idempotent uses no connection that was idle for longer, in milliseconds: the target may have closed
 * the connection, and then it is unknown whether the request ran.
 */
export const maxNonIdempotentIdleMs = 150

/** Expected work of a route without measurements, as a share of its objective. */
export const initialWorkShare = 0.37

/** Weight of a new measurement in the moving average of a route's work. */
export const workWeight = 0.1

/** Added to the reported failure rate of a target whose health check fails. */
export const unhealthyFailureShare = 0.3

/** How long a target that has just started is reported as fresh, in milliseconds. */
export const freshDurationMs = 6_000

/** Number of slots assumed for a target that has neither reported nor listed them. */
export const defaultSlots = 8

/** Expected length of a slow period before one was observed, in milliseconds. */
export const initialSlowPeriodMs = 400

/** Weight of a new measurement in the moving average of slow periods. */
export const slowPeriodWeight = 0.2

/** Length of a time window of `SpeedEstimate`, in milliseconds: the lowest slowness of the last two windows counts as usual. */
export const usualSlownessWindowMs = 800
