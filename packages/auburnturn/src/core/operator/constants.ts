/** Connections that the operator address holds at once. */
export const maxConnections = 32

/** Longest wait for the head of an operator's request, in milliseconds. */
export const requestTimeoutMs = 5_000
