/** Whether a node accepts calls. */
export type NodeState = 'starting' | 'serving' | 'draining'
