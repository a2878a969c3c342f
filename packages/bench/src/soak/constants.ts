/** What the stand-in platform promises and asks, as the settings of the nodes tell it too. */

/** Milliseconds after which a leaving target gets no new work. */
export const drainDeadlineMs = 2_000

/** Milliseconds after which a configuration is in force. */
export const applyDeadlineMs = 2_000

/** Milliseconds from SIGTERM to the kill. */
export const graceMs = 6_000

/** Milliseconds without a fault after which a VM has to keep the promises with a time bound. */
export const stabilizationMs = 3_000

/** Milliseconds by which events of different processes may be told late. */
export const reportDelayMs = 150

/** Requests sent once more, for each request, and beside those in each window. */
export const retryRatio = 0.2
export const retryAllowance = 60
export const retryWindowMs = 10_000

/** Most targets that a request may reach. */
export const maxAttempts = 2

/** Longest time of a request in milliseconds, by its route. */
export const routeTimeoutMs = 3_000

/** Milliseconds that callers wait at most. */
export const callerTimeoutMs = 4_000

/** After the last fault, milliseconds until all is served again. */
export const recoveryMs = 15_000

/** Ports on the addresses of every VM. */
export const ports = { callers: 28_001, nodes: 28_002, readiness: 28_003, upstream: 28_004, store: 28_005, internal: 28_010 } as const

/** Services of the deployment; every third VM has the same. */
export const services = ['shop', 'stock', 'ledger'] as const

/** Memory that a node is told it may take, in megabytes. */
export const memoryMb = 250
