/** Lines a second that are written; the rest is counted. */
export const maxLinesPerSecond = 60

/** Lines that may come at once after quiet seconds. */
export const maxBurstLines = 200

/** Text that may wait for a slow reader, in characters. */
export const maxBufferedCharacters = 262_144
