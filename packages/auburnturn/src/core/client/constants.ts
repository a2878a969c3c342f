/** Longest answer that is collected, in bytes; a longer one is given up as it arrives. */
export const maxAnswerBytes = 16_777_216

/** Connections to the node of one target. */
export const defaultConnectionsPerTarget = 16

/** Longest head of an answer, in bytes. */
export const maxHeaderBytes = 16_384

/** Pause after a failed read of the platform, in milliseconds. */
export const readRetryDelayMs = 1_000
