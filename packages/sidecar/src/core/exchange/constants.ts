/** Maximum size of an answer body, in bytes; the transfer of a larger one is aborted. */
export const maxAnswerBytes = 16 * 1024 * 1024

/** Maximum size of an answer head, in bytes. */
export const maxAnswerHeadBytes = 64 * 1024

/** Time after which an idle connection is closed, in milliseconds, unless the server announces a shorter one. */
export const idleTimeoutMs = 8_000

/**
 * How long before the timeout announced by the server an idle connection is closed, in milliseconds, so that no
 * request is sent while the server closes the connection.
 */
export const idleCloseMarginMs = 1_000

/** Status of an answer to a request that was sent to the wrong server, and may be sent again (RFC 9110, 15.5.20). */
export const misdirectedStatus = 421

/** A connection that stays open for this long, in milliseconds, is accepted by a server that works. */
export const openConnectionMs = 10

/** Maximum number of connections with which it is checked whether a server accepts any. */
export const maxConnectionChecks = 3
