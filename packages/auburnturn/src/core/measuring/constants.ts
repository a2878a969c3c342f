/** Bytes that a probe or the answer to one takes on the wire with its headers. */
export const probeBytes = 300

/** Processor time charged for sending a probe or an answer to one, in milliseconds. */
export const messageCoreMs = 0.2

/** Longest wait for the answer to a probe, in milliseconds. */
export const probeTimeoutMs = 250

/** A report younger than this is not renewed by a probe, in milliseconds. */
export const reportFreshMs = 20

/** A service that was not called for this long is not probed, in milliseconds. */
export const serviceIdleMs = 2_000

/** Shortest and longest pause between two looks for something to probe, in milliseconds. */
export const minPauseMs = 2
export const maxPauseMs = 1_000

/** Pause when every report is fresh or no service is in use, in milliseconds. */
export const noTargetPauseMs = 100

/** How long a target that gave no answer is not probed again, in milliseconds. */
export const unresponsiveBackoffMs = 5_000
