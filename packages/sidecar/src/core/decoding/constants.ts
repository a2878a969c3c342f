/** Largest integer that the datagrams between nodes carry, in 48 bits. */
export const maxInteger = 2 ** 48 - 1

/** Longest duration that timers allow, in milliseconds. */
export const maxDurationMs = 2 ** 31 - 1

/** Maximum length of a text, in characters: reports carry each text with its length in one byte. */
export const maxTextLength = 255

/** Maximum nesting of JSON, in levels; no document of the platform or of a node has more than ten. */
export const maxNestingDepth = 64

/** Largest number of slots of a target: reports carry the number of requests in 16 bits. */
export const maxSlots = 2 ** 16 - 1
