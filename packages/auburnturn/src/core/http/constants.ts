/** Maximum time to receive a request head; one value for all services, because the head names the service. */
export const requestHeadTimeoutMs = 10_000

/** Interval at which the listener checks for request heads that have timed out, in milliseconds. */
export const headTimeoutCheckIntervalMs = 1_000

/** A caller's connection without a call is closed after this time. */
export const callerKeepAliveMs = 60_000

/** How long an idle connection to a target is kept open if the target sends no keep-alive limit. */
export const targetKeepAliveMs = 4_000

/** Maximum time to read the rest of a request body after an early answer, in milliseconds. */
export const lingerTimeoutMs = 1_000

/** Maximum number of bytes read from the rest of a request body after an early answer. */
export const maxLingerBytes = 1_048_576

/** Number of unsent body bytes in memory at which reading from the caller pauses, because the target is slower. */
export const maxUnreadBodyBytes = 65_536

/** How the system identifies itself in the `Via` header (RFC 9110, 7.6.3). */
export const viaValue = '1.1 auburnturn'

/** Maximum number of interim answers (1xx) before the final one; a server that sends more is faulty. */
export const maxInterimAnswers = 8
