/** The state of nodes side by side: read from their dumps, compared, and shown. */
export { formatStatuses } from './format.js'
export { readStatus } from './read.js'
export { compareStatuses } from './compare.js'
export type { Concern, NodeStatus, ComparedStatus, UnreachableNode } from './types.js'
