/** A few nodes read the store and tell the others what they read. */
export { Announcer } from './announcer.js'
export { decodeChanges, decodeReader, encodeChanges, encodeReader } from './codec.js'
export { ReadingDuty } from './reading-duty.js'
export type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'
