/** Granularity of the timer wheel, in milliseconds; a timeout fires at most this much late. */
export const wheelTickMs = 4

/** Buckets of the timer wheel; a timeout further ahead than all of them stays for more turns. */
export const wheelBuckets = 512
