/** The state of nodes side by side: read from their dumps, compared, and shown. */
export { formatStatuses } from './format.js'
export { readStatus } from './read.js'
export { reviewStatuses } from './review.js'
export type { Concern, NodeStatus, ReviewedStatus, Unreachable } from './types.js'
