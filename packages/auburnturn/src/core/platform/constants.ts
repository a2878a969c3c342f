/** How long the platform may hold a watch, in milliseconds. */
export const watchTimeoutMs = 10_000

/** Time beyond the watch after which the platform counts as silent, in milliseconds. */
export const watchGraceMs = 5_000

/** Largest answer of the platform, in bytes. */
export const maxResponseBytes = 67_108_864

/** Mean time between two reads of one kind by an elected reader at most, in milliseconds. */
export const readerIntervalMs = 500

/** Part of the fleet's reads that nodes which are not elected share. */
export const followerReadShare = 0.5

/** First pause after a failed read, in milliseconds; it doubles each time. */
export const baseBackoffMs = 500

/** Longest pause after a failed read of an elected reader, in milliseconds. */
export const maxReaderBackoffMs = 30_000

/** Time between looks at whether this node is to read, in milliseconds. */
export const roleCheckIntervalMs = 500

/** A follower whose configuration nobody has confirmed for this long reads on its own share, in milliseconds. */
export const confirmationTimeoutMs = 60_000

/** Time between two reads of everything by an elected reader, in milliseconds. */
export const fullReadIntervalMs = 600_000

/** The platform is reported as silent after this long, in milliseconds. */
export const unresponsiveAfterMs = 30_000

/** Shortest mean time between two turns of a node that is not elected, in milliseconds. */
export const minFollowerIntervalMs = 1_000

/** Reads of one kind that an elected reader may make at once after a quiet time. */
export const maxReaderBurstReads = 4
