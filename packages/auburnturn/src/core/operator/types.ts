/** Whether a node takes calls. */
export type NodeState = 'starting' | 'serving' | 'draining'
