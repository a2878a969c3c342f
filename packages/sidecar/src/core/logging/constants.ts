/** Lines a second that are written; the rest is counted. */
export const linesPerSecond = 60

/** Lines that may come at once after quiet seconds. */
export const burstLines = 200

/** Text that may wait for a slow reader, in characters. */
export const maxWaitingLength = 262_144
