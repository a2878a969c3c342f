/** The configuration in force on this node: profiles, and which profile each service picks. */
export { Digest } from './digest.js'
export { compareEditions } from './edition.js'
export { Freshness } from './freshness.js'
export { hashText } from './hash.js'
export { Store } from './store.js'
export { Tombstones } from './tombstones.js'
export type { Acceptance, Confirmation, Edition, Entry, EntrySource, Refusal, Replica } from './types.js'
