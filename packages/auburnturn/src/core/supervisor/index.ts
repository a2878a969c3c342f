/** Starts the parts of a node, closes them in reverse order, and starts a failed one again with backoff. */
export { Supervisor } from './supervisor.js'
export type { Part, PartFactory } from './types.js'
