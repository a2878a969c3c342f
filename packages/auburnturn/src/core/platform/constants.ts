/** Longest the platform may hold a watch, in milliseconds. */
export const watchMs = 25_000

/** Time beyond the watch after which the platform counts as silent, in milliseconds. */
export const watchGraceMs = 5_000
