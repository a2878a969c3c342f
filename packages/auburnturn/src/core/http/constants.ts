/** Maximum time to receive a request head; one value for all services, because the head names the service. */
export const requestHeadTimeoutMs = 10_000

/** Interval at which the listener checks for request heads past their timeout. */
export const headTimeoutCheckIntervalMs = 1_000

/** A caller's connection without a call is closed after this time. */
export const callerKeepAliveMs = 60_000

/** How long an idle connection to a target is kept open if the target sends no keep-alive limit. */
export const targetKeepAliveMs = 4_000

/** After an early answer, the rest of a request body is read for at most this time. */
export const lingerTimeoutMs = 1_000

/** After an early answer, at most this much of the rest of a request body is read. */
export const maxLingerBytes = 1_048_576

/** Reading from the caller pauses when this many body bytes wait in memory for a slower target. */
export const maxUnreadBodyBytes = 65_536

/** How the system identifies itself in the `Via` header (RFC 9110, 7.6.3). */
export const viaValue = '1.1 auburnturn'
