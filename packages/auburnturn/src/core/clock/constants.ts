/** Resolution of the timer wheel, in milliseconds; a timeout fires at most this much after it is due. */
export const wheelTickMs = 4

/** Number of buckets of the timer wheel; a timeout beyond one revolution stays in its bucket for several revolutions. */
export const wheelBuckets = 512
