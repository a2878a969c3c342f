/** Most lines per second that are written on average; further lines are dropped and counted. */
export const maxLinesPerSecond = 60

/** Most lines that may be written in one burst after idle seconds. */
export const maxBurstLines = 200

/** Text that is buffered for a slow reader, in characters; further lines are dropped. */
export const maxBufferedCharacters = 262_144
