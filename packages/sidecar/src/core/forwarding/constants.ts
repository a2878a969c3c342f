/** Longest time for a new connection to another node, in milliseconds. */
export const peerConnectTimeoutMs = 300

/** Most connections to one other node. */
export const maxPeerConnections = 256

/** Most targets that one request is offered to, refusals by their nodes included. */
export const maxTargetAttempts = 4

/** Share of the time left that callers honour in Retry-After. */
export const maxRetryAfterShare = 1 / 3

/** Retry-After while no configuration or no target is known, in milliseconds. */
export const defaultRetryAfterMs = 250

/** Idle connections between nodes are closed by the sender first; this is the receiver's bound, in milliseconds. */
export const peerIdleTimeoutMs = 120_000

/** Work may take this much longer than its mean before another target is asked as well. */
export const hedgeWorkFactor = 1.25

/** How often a late request is looked at, in milliseconds. */
export const hedgeCheckIntervalMs = 40

/** Expected work of a route that was not seen yet, as a share of its objective. */
export const initialWorkShare = 0.5

/** Offers that a slow target may refuse for a faster one. */
export const maxNonWaitingAttempts = 2

/** Where a node tells others its configuration and targets. */
export const statePath = '/auburnturn/state'

/** Where a node tells others its configuration only. */
export const configurationPath = '/auburnturn/configuration'

/** Longest configuration that a node tells, packed, in bytes: the links of all others together carry more than its own. */
export const maxSharedConfigurationBytes = 32 * 1024

/** Longest time to read both from another node, in milliseconds. */
export const stateTimeoutMs = 1_000

/** Longest time to read the configuration only, in milliseconds: the store has it as well, and time is short. */
export const configurationTimeoutMs = 300

/** Longest text that what another node told is unpacked to, in bytes. */
export const maxDecompressedBytes = 16 * 1024 * 1024
