/** Starts the parts of a node, restarts a failed part with exponential backoff, and closes all parts in reverse order. */
export { Supervisor } from './supervisor.js'
export type { Part, PartFactory } from './types.js'
