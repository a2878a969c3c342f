/** First pause before a failed part starts again, in milliseconds; it doubles each time. */
export const baseBackoffMs = 100

/** Longest pause before a failed part starts again, in milliseconds. */
export const maxBackoffMs = 10_000

/** A part that ran this long without failing starts again after the first pause, in milliseconds. */
export const backoffResetMs = 60_000

/** Longest wait for a part to close before the next one is closed, in milliseconds. */
export const closeTimeoutMs = 5_000
