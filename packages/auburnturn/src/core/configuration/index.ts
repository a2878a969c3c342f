/** The configuration in force on this node: profiles, and which profile each service picks. */
export { Store } from './store.js'
export type { Acceptance, Entry, EntrySource } from './types.js'
