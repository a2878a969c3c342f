/** How often a reader tells the other nodes that it reads, in milliseconds. */
export const noticeMs = 500

/** A reader that was not heard for this long, in milliseconds, no longer counts: two notices were lost, or it is gone. */
export const silentReaderMs = 1_200

/** Nodes that miss a reader wait up to this long, in milliseconds, so that one of them comes first. */
export const takeUpSpreadMs = 300

/** Most nodes of one failure domain that try a store that does not answer. */
export const maxTriers = 3

/** After this long without an answer, in milliseconds, a reader lets another node try. */
export const tryMs = 3_000

/** How long it leaves that to the others, in milliseconds. */
export const restMs = 6_000

/** Readers of a failure domain when it is the only one; else one each, since each tells all domains. */
export const readersOfOnlyDomain = 2
