/** Maximum average rate of lines, per second; further lines are dropped and counted. */
export const maxLinesPerSecond = 20

/** Maximum number of lines in a burst after a period without lines. */
export const maxBurstLines = 200

/** Length of the buffer above which further lines are dropped, in characters; a slow reader of the output fills it. */
export const maxBufferedCharacters = 262_144
