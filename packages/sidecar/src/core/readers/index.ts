/** Election of the few nodes that read the store, and their notices to all other nodes. */
export { Announcer } from './announcer.js'
export { decodeChangesNotice, decodeReaderNotice, encodeChangesNotice, encodeReaderNotice } from './codec.js'
export { ReaderElection } from './reader-election.js'
export type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'
