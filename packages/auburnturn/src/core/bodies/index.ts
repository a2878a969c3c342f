/** Message bodies that are being received: the memory and the processor time that their pieces take. */
export { BodyBuffer } from './body-buffer.js'
export { PacedSource } from './paced-source.js'
export type { PieceSource } from './paced-source.js'
export { ReadPace } from './read-pace.js'
export { bufferOverheadBytes, freePieceBytes, freePieces, pacedPiecesPerSecond, piecesPerTurn } from './constants.js'
