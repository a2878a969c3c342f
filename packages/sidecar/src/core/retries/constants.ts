/** Length of one slice of the sliding window, in milliseconds. */
export const bucketMs = 500

/** Slices of a window: ten seconds and one slice for the one that is under way. */
export const bucketCount = 21

/** Share of the budget to spend; the rest covers the calls that repeated requests make again. */
export const spendableShare = 0.6
