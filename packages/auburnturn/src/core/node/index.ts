/** One node: every part of the daemon in its supervisor tree. */
export { Node } from './node.js'
export type { NodeOptions } from './parts.js'
