/** Longest answer that is held, in bytes; longer ones are broken off. */
export const maxAnswerBytes = 16 * 1024 * 1024

/** Longest head of an answer, in bytes. */
export const maxHeadBytes = 64 * 1024
