/** Serves dump, metrics and health of one node over HTTP, on a loopback address by default. */
export { OperatorServer } from './operator-server.js'
export type { NodeState } from './types.js'
