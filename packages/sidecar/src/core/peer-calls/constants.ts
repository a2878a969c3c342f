/** Bytes of a frame before its content: the length of the content, then that of the fields in it, each 32 bits. */
export const framePrefixBytes = 8

/** Maximum size of the fields of a frame, in bytes; a frame with more is invalid. */
export const maxFieldBytes = 128 * 1024

/** Maximum size of the body of an answer frame, in bytes. */
export const maxAnswerBodyBytes = 16 * 1024 * 1024

/** Largest body that is copied into one buffer with the fields of its frame, in bytes. */
export const maxCopiedBodyBytes = 16 * 1024

/** Time after which the calling node closes an idle connection, in milliseconds. */
export const idleTimeoutMs = 8_000

/** Time after which the called node closes an idle connection, in milliseconds: later than the calling node does. */
export const serverIdleTimeoutMs = 120_000
