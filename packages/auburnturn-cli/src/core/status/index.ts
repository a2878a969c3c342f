/** Reads the states of nodes from their dumps, compares them and formats them as a table. */
export { formatStatuses } from './format.js'
export { readStatus } from './read.js'
export { compareStatuses } from './compare.js'
export type { Concern, NodeStatus, ComparedStatus, UnreachableNode } from './types.js'
