/** Nodes per failure domain that read the configuration from the platform. */
export const readersPerDomain = 2

/** Number of members of a failure domain, first by rank, that may become readers; includes the readers. */
export const candidatesPerDomain = 6

/** Maximum number of peers to which a node pushes one change; also the growth factor of the comparison distances. */
export const fanOut = 4

/** Mean time between two comparisons with peers, in milliseconds; each pause is a random 0.5 to 1.5 of it. */
export const comparisonIntervalMs = 2_000

/** Delay before a flush, in milliseconds; updates that arrive within it are sent together. */
export const coalesceDelayMs = 10

/** Minimum time between two flushes of entries by one node, in milliseconds. */
export const minFlushIntervalMs = 100

/**
 * Minimum time between two flushes of notices alone, in milliseconds: the notices of many nodes that start together
 * are sent in few messages.
 */
export const minNoticeFlushIntervalMs = 500

/** Maximum number of notices in the response to a comparison. */
export const maxNoticesPerComparison = 50

/** Response timeout of one relay message, in milliseconds. */
export const messageTimeoutMs = 1_000

/** Time that a peer counts as unresponsive after a failed message, in milliseconds. */
export const unresponsivePeriodMs = 10_000

/** Time without an answer from the platform after which the next candidate replaces a reader, in milliseconds. */
export const readerTimeoutMs = 20_000

/** Time without any message after which a region counts as disconnected, in milliseconds. */
export const regionTimeoutMs = 30_000

/**
 * Sustained relay traffic of one node in both directions, in bytes per second; with 2,000 for measuring the total stays
 * below 7 KB/s.
 */
export const defaultBytesPerSecond = 5_000

/** Bytes that may exceed the sustained rate, for a first full copy or a burst of changes. */
export const defaultBurstBytes = 1_048_576

/** Estimated size of the HTTP/2 frames and headers of one message and its response, in bytes. */
export const messageOverheadBytes = 150

/** Target size of one message, in bytes; a single larger entry is sent in a message of its own. */
export const targetMessageBytes = 65_536

/** Window over which the byte rate shown to operators is averaged, in milliseconds. */
export const rateWindowMs = 10_000

/** Time that a failure domain keeps its previous members after it suddenly loses more than half of them, in milliseconds. */
export const shrinkHoldDownMs = 600_000

/** Maximum time that a starting node waits for its peers and the platform, in milliseconds. */
export const startTimeoutMs = 5_000

/** Maximum number of services whose member lists are stored. */
export const maxServices = 20_000

/** Maximum number of keys remembered as sent, over all trees. */
export const maxSentKeys = 4_096

/** Size of the entries in one repair response, in bytes; the requester sends its versions again to get the rest. */
export const targetRepairBytes = 262_144

/** Minimum size of a message that is compressed, in bytes. */
export const compressionThresholdBytes = 1_024

/** Ratio by which the budget assumes that messages are compressed; member lists compress to a fourteenth. */
export const assumedCompressionRatio = 4

/** Maximum pause after one message larger than the budget, in milliseconds. */
export const maxOverdraftMs = 2_000

/** Maximum time that a closing node waits for its last updates to be delivered, in milliseconds. */
export const closeFlushTimeoutMs = 500
