/** Dump, metrics and health of one node, over HTTP on a loopback address by default. */
export { Operator } from './operator.js'
export type { NodeState } from './types.js'
