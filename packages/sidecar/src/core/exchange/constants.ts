/** Longest answer that is held, in bytes; longer ones are broken off. */
export const maxAnswerBytes = 16 * 1024 * 1024

/** Longest head of an answer, in bytes. */
export const maxAnswerHeadBytes = 64 * 1024

/** An idle connection is closed after this long unless the server names a shorter time, in milliseconds. */
export const idleTimeoutMs = 8_000

/** Time before the one that the server names, in milliseconds, so that no request crosses its close. */
export const idleCloseMarginMs = 1_000

/** Interim answers (1xx) before the answer itself; a server that sends more is in trouble. */
export const maxInterimAnswers = 8
