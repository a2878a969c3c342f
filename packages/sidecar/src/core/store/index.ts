/** The platform's store as a node reads it: its entries, their changes, and the client. */
export type { Change, StoreAnswer, StoreClient } from './types.js'
