/** How long the platform may hold a watch, in milliseconds. */
export const watchMs = 10_000

/** Time beyond the watch after which the platform counts as silent, in milliseconds. */
export const watchGraceMs = 5_000

/** Largest answer of the platform, in bytes. */
export const maxPageBytes = 67_108_864

/** Mean time between two reads of one kind by an elected reader at most, in milliseconds. */
export const readerPauseMs = 500

/** Part of the fleet's reads that nodes which are not elected share. */
export const unelectedShare = 0.5

/** First pause after a failed read, in milliseconds; it doubles each time. */
export const firstBackoffMs = 500

/** Longest pause after a failed read of an elected reader, in milliseconds. */
export const maxBackoffMs = 30_000

/** Time between looks at whether this node is to read, in milliseconds. */
export const roleCheckMs = 500

/** A follower whose configuration nobody has confirmed for this long reads on its own share, in milliseconds. */
export const unconfirmedMs = 60_000

/** Time between two reads of everything by an elected reader, in milliseconds. */
export const wholeReadMs = 600_000

/** The platform is reported as silent after this long, in milliseconds. */
export const silentMs = 30_000

/** Shortest mean time between two turns of a node that is not elected, in milliseconds. */
export const minTurnMs = 1_000

/** Reads of one kind that an elected reader may make at once after a quiet time. */
export const readerBurst = 4
