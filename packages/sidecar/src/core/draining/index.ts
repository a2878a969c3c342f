/** The planned stop of a node: which requests it still takes, and when it ends. */
export { Drain } from './drain.js'
export type { DrainOptions } from './drain.js'
