/** Readiness checks refused in a row after which callers go elsewhere. */
export const refusedChecksUntilRemoval = 2

/** After SIGTERM, callers have gone elsewhere after this long at the latest, in milliseconds. */
export const callerRemovalTimeoutMs = 2_300

/** How often a draining node looks whether it may end, in milliseconds. */
export const drainCheckIntervalMs = 10

/** Time before the kill at which the process ends, whatever is under way, in milliseconds. */
export const exitMarginMs = 300

/** Time before its end at which a draining node answers what is still under way, in milliseconds. */
export const cancelMarginMs = 300

/** After SIGTERM, requests are taken for this long, in milliseconds: what comes later might not end before the kill. */
export const drainAcceptMs = 3_000

/** A node that no longer listens ends when no request has come for this long, in milliseconds. */
export const drainIdleMs = 60

/** Where the metrics are served; deploy/system.toml names the same. */
export const metricsPort = 9_464
export const metricsPath = '/metrics'

/** How often the settings file is looked at, in milliseconds: it may change without a signal. */
export const settingsCheckIntervalMs = 2_000

/** Idle connections of callers are kept this long before a configuration says so, in milliseconds. */
export const defaultCallerIdleTimeoutMs = 60_000

/** Share of a process's memory that bodies on their way may take together. */
export const bodyMemoryShare = 0.15

export const bytesPerMegabyte = 1024 * 1024
