/** Configuration readers per failure domain. */
export const readersPerDomain = 2

/** Members of a failure domain that may stand in for a silent reader, readers included. */
export const candidatesPerDomain = 6

/** Nodes that a node pushes one change to. */
export const fanOut = 4

/** Time between two comparisons with a peer, in milliseconds; each pause is drawn from 0.5 to 1.5 of it. */
export const comparisonIntervalMs = 2_000

/** News that arrive within this time travel together, in milliseconds. */
export const coalesceDelayMs = 10

/** Shortest time between two sendings of entries by one node, in milliseconds. */
export const minFlushIntervalMs = 100

/** The same for notices alone: when many nodes start together, theirs travel in few messages. */
export const minNoticeFlushIntervalMs = 500

/** Notices in the answer to a comparison. */
export const maxNoticesPerComparison = 50

/** Longest wait for the answer to one relay message, in milliseconds. */
export const messageTimeoutMs = 1_000

/** After a failed message a peer counts as silent for this long, in milliseconds. */
export const unresponsivePeriodMs = 10_000

/** A reader that the platform has not answered for this long gives way to the next candidate, in milliseconds. */
export const readerTimeoutMs = 20_000

/** Regions count as apart when no message has passed for this long, in milliseconds. */
export const regionTimeoutMs = 30_000

/** Sustained bytes a second of the relay of one node, both ways; with 2,000 for measuring it stays below 7 KB/s. */
export const defaultBytesPerSecond = 5_000

/** Bytes that may exceed the sustained rate, for a first copy of everything or a burst of changes. */
export const defaultBurstBytes = 1_048_576

/** Estimated bytes of HTTP/2 frames and headers around one message and its answer. */
export const messageOverheadBytes = 150

/** Target size of one message, in bytes; a larger single entry travels alone. */
export const targetMessageBytes = 65_536

/** Window of the bytes a second shown to operators, in milliseconds. */
export const rateWindowMs = 10_000

/** A failure domain that loses more than half of its members at once keeps the former ones for this long, in milliseconds. */
export const shrinkHoldDownMs = 600_000

/** Longest wait of a starting node for peers and platform, in milliseconds. */
export const startTimeoutMs = 5_000

/** Services whose member lists are held. */
export const maxServices = 20_000

/** Keys remembered as sent, over all trees. */
export const maxSentKeys = 4_096

/** Entries in the answer to one repair, in bytes; its versions are sent again for the rest. */
export const targetRepairBytes = 262_144

/** Messages from this size on are compressed, in bytes. */
export const compressionThresholdBytes = 1_024

/** How much smaller compressed messages are counted; lists of members shrink to a fourteenth. */
export const assumedCompressionRatio = 4

/** Longest silence after one message larger than the budget, in milliseconds. */
export const maxOverdraftMs = 2_000

/** Longest wait for the last news of a closing node to be taken, in milliseconds. */
export const closeFlushTimeoutMs = 500
