/** The platform's store as a node reads it: its entries, their changes, and the client. */
export { decodeSharedChanges, decodeSharedConfiguration, decodeSharedTarget } from './decode-shared.js'
export { isLater } from './position.js'
export type { Change, StoreAnswer, StoreClient, StorePosition } from './types.js'
