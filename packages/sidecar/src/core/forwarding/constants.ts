/** Maximum time to open a new connection to another node, in milliseconds. */
export const peerConnectTimeoutMs = 300

/** Maximum number of connections for requests to one other node. */
export const maxPeerConnections = 256

/** Maximum number of connections to one other node for reading its state. */
export const maxStateConnections = 4

/** Maximum number of targets on which one request is attempted, including those whose nodes refuse it. */
export const maxTargetAttempts = 2

/** Maximum Retry-After, as a share of the time that the caller still waits; callers ignore a longer delay. */
export const maxRetryAfterShare = 1 / 3

/** Retry-After in milliseconds where no better value is known, such as without a configuration or a target. */
export const defaultRetryAfterMs = 250

/** Idle timeout of incoming connections from other nodes, in milliseconds; the sending node normally closes them earlier. */
export const peerIdleTimeoutMs = 120_000

/**
 * Time allowed for the work of a hedge, as a multiple of the mean work time: a request is first checked for a hedge when
 * this much time is left until its objective.
 */
export const hedgeWorkFactor = 1.25

/** Interval at which an overdue request is checked for a hedge, in milliseconds. */
export const hedgeCheckIntervalMs = 40

/** Expected work time of a route without completed requests, as a share of its objective. */
export const initialWorkShare = 0.5

/** Path at which a node serves its configuration and its targets to other nodes. */
export const statePath = '/auburnturn/state'

/** Path at which a node serves its configuration alone to other nodes. */
export const configurationPath = '/auburnturn/configuration'

/**
 * Maximum compressed size of a configuration that a node serves to other nodes, in bytes. Nodes read a larger one from
 * the store, each over its own link: together these links carry more than the link of the serving node.
 */
export const maxSharedConfigurationBytes = 32 * 1024

/** Maximum time to read the configuration and the targets from another node, in milliseconds. */
export const stateTimeoutMs = 1_000

/** Maximum time to read the configuration alone, in milliseconds: short, since the store can provide it as well. */
export const configurationTimeoutMs = 300

/** Maximum decompressed size of data from another node, in bytes. */
export const maxDecompressedBytes = 16 * 1024 * 1024
