/** The configuration in force on this node: profiles, and which profile each service picks. */
export { Digest } from './digest.js'
export { compareEditions } from './edition.js'
export { Freshness } from './freshness.js'
export { hashText } from './hash.js'
export { ConfigurationStore } from './configuration-store.js'
export { Tombstones } from './tombstones.js'
export type { AcceptResult, Confirmation, Edition, Entry, EntrySource, RejectedEntry, Replica } from './types.js'
