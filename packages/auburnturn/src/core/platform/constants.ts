/** How long the platform may hold a watch request open, in milliseconds. */
export const watchTimeoutMs = 10_000

/** Time beyond the watch timeout after which the platform counts as unresponsive, in milliseconds. */
export const watchGraceMs = 5_000

/** Maximum size of a response of the platform, in bytes. */
export const maxResponseBytes = 67_108_864

/** Minimum mean time between two reads of one kind by an elected reader, in milliseconds. */
export const readerIntervalMs = 500

/** Share of the fleet's reads that is reserved for nodes which are not elected as readers. */
export const followerReadShare = 0.5

/** Backoff after the first failed read, in milliseconds. It doubles with each further failure. */
export const baseBackoffMs = 500

/** Maximum backoff after a failed read of an elected reader, in milliseconds. */
export const maxReaderBackoffMs = 30_000

/** Interval at which a node that does not read checks whether it should, in milliseconds. */
export const roleCheckIntervalMs = 500

/** A follower reads on its own schedule if its configuration has not been confirmed for this long, in milliseconds. */
export const confirmationTimeoutMs = 60_000

/** Time between two reads of the complete configuration by an elected reader, in milliseconds. */
export const fullReadIntervalMs = 600_000

/** Time without a successful read after which the platform is logged as unresponsive, in milliseconds. */
export const unresponsiveAfterMs = 30_000

/** Minimum mean time between two rounds of reads of a node that is not elected, in milliseconds. */
export const minFollowerIntervalMs = 1_000

/** Reads of one kind that an elected reader may make immediately after an idle time. */
export const maxReaderBurstReads = 4
