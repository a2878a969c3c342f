/** First pause before a failed part starts again, in milliseconds; it doubles each time. */
export const firstBackoffMs = 100

/** Longest pause before a failed part starts again, in milliseconds. */
export const maxBackoffMs = 10_000
