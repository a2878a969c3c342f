/** A few nodes read the store and tell the others what they read. */
export { Announcer } from './announcer.js'
export { decodeChangesNotice, decodeReaderNotice, encodeChangesNotice, encodeReaderNotice } from './codec.js'
export { ReaderElection } from './reader-election.js'
export type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'
