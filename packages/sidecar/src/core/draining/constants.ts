/** Number of consecutive refused readiness checks after which callers use other nodes. */
export const refusedChecksUntilRemoval = 2

/** Maximum time after SIGTERM for which a node waits until callers use other nodes, in milliseconds. */
export const callerRemovalTimeoutMs = 2_300

/** Interval at which a node checks whether callers use other nodes, in milliseconds. */
export const removalCheckIntervalMs = 10

/** Maximum time after SIGTERM for which new connections are accepted, in milliseconds. */
export const listenMs = 3_000

/** The process ends this long before it would be killed, in milliseconds, even with requests in flight. */
export const exitMarginMs = 300

/** The requests still in flight are cancelled this long before the process ends, in milliseconds. */
export const cancelMarginMs = 300

/** Requests that are cancelled and do not end are answered this long before the process ends, in milliseconds. */
export const answerMarginMs = 150

/** A node that no longer listens counts as idle after this long without requests, in milliseconds. */
export const idleMs = 60
