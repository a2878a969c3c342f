/** Number of bytes that Node.js keeps for a paused message: few, as they are kept in the pieces in which they came. */
export const messageBufferBytes = 1_024

/** Largest number of bytes that are read from a server at once; all pieces in them are handled without a pause. */
export const readBytes = 8_192
