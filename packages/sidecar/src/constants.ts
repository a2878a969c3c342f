/** After SIGTERM, work of other nodes is let in for this long, in milliseconds. */
export const admitAfterSignalMs = 1_300

/** After SIGTERM, callers have gone elsewhere after this long, in milliseconds. */
export const callersGoneMs = 2_300

/** Time before the kill at which the process ends, whatever is under way, in milliseconds. */
export const endMarginMs = 300
