/** Maximum concurrent connections to the operator address. */
export const maxConnections = 32

/** Maximum time to receive a request of an operator, in milliseconds. Applies to its head as well. */
export const requestTimeoutMs = 5_000
