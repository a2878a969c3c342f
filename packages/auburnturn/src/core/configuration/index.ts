/** The active configuration of this node: the profiles, and the profile that each service uses. */
export { ConfigurationStore } from './configuration-store.js'
export { Digest } from './digest.js'
export { compareEditions } from './edition.js'
export { Freshness } from './freshness.js'
export { hashText } from './hash.js'
export { Tombstones } from './tombstones.js'
export type { AcceptResult, Confirmation, Edition, Entry, EntrySource, RejectedEntry, Replica } from './types.js'
