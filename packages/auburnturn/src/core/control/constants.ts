/** Maximum size of a control message, in bytes; one configuration value may be a megabyte. */
export const maxMessageBytes = 4_194_304

/** Time after which an idle connection to a peer is closed, in milliseconds. */
export const idleConnectionTimeoutMs = 30_000

/** Timeout for opening a connection to a peer, in milliseconds. */
export const connectTimeoutMs = 1_000

/** Default response timeout of a control message, in milliseconds. */
export const defaultMessageTimeoutMs = 2_000
