/** Largest piece that is copied into a block, in bytes; larger ones are kept as they are. */
export const maxCopiedPieceBytes = 4_096

/** Sizes of the first block and of the largest ones, in bytes. */
export const minBlockBytes = 1_024
export const maxBlockBytes = 65_536

/** Share of a long body that has to come before room is taken for all of it: a sender may name any size. */
export const reservedAfterShare = 0.25

/** Memory that one buffer takes besides its bytes, in bytes: its objects on the heap and its record in Node.js. */
export const bufferOverheadBytes = 512

/** Pieces of one body that are read without a pause, however small they are. */
export const freePieces = 1_000

/** Pieces of this mean size, in bytes, are read without a pause, however many they are. */
export const freePieceBytes = 512

/** Rate at which all bodies of the process together are read beyond their free pieces, in pieces per second. */
export const pacedPiecesPerSecond = 25_000

/** Pieces of one body that are read between two pauses. */
export const piecesPerTurn = 256
