/** Delay before the first restart of a failed part, in milliseconds; it doubles with each further failure. */
export const baseBackoffMs = 100

/** Maximum delay before the restart of a failed part, in milliseconds. */
export const maxBackoffMs = 10_000

/** After running for this long without a failure, a part restarts with the base delay again, in milliseconds. */
export const backoffResetMs = 60_000

/** Maximum time to wait for a part to close before closing the next one, in milliseconds. */
export const closeTimeoutMs = 5_000
