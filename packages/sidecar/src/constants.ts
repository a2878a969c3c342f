/** Number of consecutive refused readiness checks after which callers use other nodes. */
export const refusedChecksUntilRemoval = 2

/** Maximum time after SIGTERM for which a draining node waits until callers use other nodes, in milliseconds. */
export const callerRemovalTimeoutMs = 2_300

/** Interval at which a draining node checks whether callers use other nodes, in milliseconds. */
export const drainCheckIntervalMs = 10

/** The process exits this long before it would be killed, in milliseconds, even with requests in flight. */
export const exitMarginMs = 300

/** A draining node cancels and answers the requests still in flight this long before it exits, in milliseconds. */
export const cancelMarginMs = 300

/** Requests are accepted for this long after SIGTERM, in milliseconds; later ones might not end before the kill. */
export const drainAcceptMs = 3_000

/** A draining node that no longer listens counts as idle after this long without requests, in milliseconds. */
export const drainIdleMs = 60

/** Port and path of the metrics; deploy/system.toml has the same values. */
export const metricsPort = 9_464
export const metricsPath = '/metrics'

/** Interval at which the settings file is read again, in milliseconds, since it may change without a signal. */
export const settingsCheckIntervalMs = 2_000

/** Idle timeout of callers' connections before the first configuration is active, in milliseconds. */
export const defaultCallerIdleTimeoutMs = 60_000

/** Share of the process's memory limit that all bodies being received may use together. */
export const bodyMemoryShare = 0.15

export const bytesPerMegabyte = 1024 * 1024
