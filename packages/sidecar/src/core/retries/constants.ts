/** Length of one bucket of the sliding window, in milliseconds. */
export const bucketMs = 500

/** Buckets of a window: ten seconds, plus the current bucket, which is still incomplete. */
export const bucketCount = 21

/** Share of the budget that nodes spend; the rest covers the calls that a retried request makes to other services again. */
export const spendableShare = 0.6
