/** Longest time a caller may take for a request head, in milliseconds; its service is not known yet. */
export const requestHeadTimeoutMs = 10_000

/** How often the listener looks for callers that are too slow with a head, in milliseconds. */
export const headTimeoutCheckIntervalMs = 1_000

/** A connection without a call is closed after this long, in milliseconds. */
export const callerKeepAliveMs = 60_000

/** How long an unused connection to a target is kept when the target names no limit, in milliseconds. */
export const targetKeepAliveMs = 4_000

/** After an early answer, the rest of a request body is read for at most this long, in milliseconds. */
export const lingerTimeoutMs = 1_000

/** After an early answer, at most this much of the rest of a request body is read, in bytes. */
export const maxLingerBytes = 1_048_576

/** Request body bytes that wait in memory for a slower target before the caller is held back. */
export const maxUnreadBodyBytes = 65_536

/** How this system names itself in `Via` (RFC 9110, 7.6.3). */
export const viaValue = '1.1 auburnturn'
