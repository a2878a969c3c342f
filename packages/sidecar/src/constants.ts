/** Readiness checks refused in a row after which callers go elsewhere. */
export const checksUntilGone = 2

/** After SIGTERM, callers have gone elsewhere after this long at the latest, in milliseconds. */
export const callersGoneMs = 2_300

/** How often a draining node looks whether it may end, in milliseconds. */
export const drainCheckMs = 10

/** Time before the kill at which the process ends, whatever is under way, in milliseconds. */
export const endMarginMs = 300

/** Time before its end at which a draining node answers what is still under way, in milliseconds. */
export const answerMarginMs = 300

/** After SIGTERM, requests are taken for this long, in milliseconds: what comes later might not end before the kill. */
export const lastRequestMs = 3_000

/** A node that no longer listens ends when no request has come for this long, in milliseconds. */
export const quietMs = 60

/** Where the metrics are served; deploy/system.toml names the same. */
export const metricsPort = 9_464
export const metricsPath = '/metrics'

/** How often the settings file is looked at, in milliseconds: it may change without a signal. */
export const settingsCheckMs = 2_000

/** Idle connections of callers are kept this long before a configuration says so, in milliseconds. */
export const idleUntilConfiguredMs = 60_000

/** Share of a process's memory that bodies on their way may take together. */
export const bodyMemoryShare = 0.15

export const bytesOfMegabyte = 1024 * 1024
