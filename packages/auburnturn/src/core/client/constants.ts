/** Maximum size of a buffered answer, in bytes; a call with a longer answer is cancelled. */
export const maxAnswerBytes = 16_777_216

/** Default maximum of connections to the node of one target. */
export const defaultConnectionsPerTarget = 16

/** Maximum size of the head of an answer, in bytes. */
export const maxHeaderBytes = 16_384

/** Delay before a failed read from the platform is retried, in milliseconds. */
export const readRetryDelayMs = 1_000
