/** Largest control message, in bytes; one configuration value may be a megabyte. */
export const maxMessageBytes = 4_194_304

/** Time after which an unused connection to a peer is closed, in milliseconds. */
export const idleConnectionTimeoutMs = 30_000

/** Longest wait for a connection to a peer, in milliseconds. */
export const connectTimeoutMs = 1_000

/** Longest wait for the answer to a control message, in milliseconds. */
export const defaultMessageTimeoutMs = 2_000
