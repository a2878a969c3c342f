/** Bytes that a probe or its response takes on the wire, headers included. */
export const probeBytes = 300

/** Processor time charged to the budget for sending a probe or a response to one, in milliseconds. */
export const messageCoreMs = 0.2

/** Maximum time to wait for the response to a probe, in milliseconds. */
export const probeTimeoutMs = 250

/** Minimum age of a load report before a probe renews it, in milliseconds. */
export const minReportAgeMs = 20

/** Targets of a service are not probed once this node has routed no call to it for this long, in milliseconds. */
export const serviceIdleMs = 2_000

/** Minimum and maximum pause between two searches for a target to probe, in milliseconds. */
export const minPauseMs = 2
export const maxPauseMs = 1_000

/** Pause when every report is fresh or no service is in use, in milliseconds. */
export const noTargetPauseMs = 100

/** How long a target that did not respond to a probe is not probed again, in milliseconds. */
export const unresponsiveBackoffMs = 5_000
