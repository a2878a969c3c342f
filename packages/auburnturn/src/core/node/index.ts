/** One node: all parts of the daemon, run by a supervisor. */
export { Node } from './node.js'
export type { NodeOptions } from './components.js'
