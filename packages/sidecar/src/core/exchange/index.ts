/** One request and its whole answer on one connection: to targets, other nodes and the platform. */
export { Connections } from './connections.js'
export { exchange } from './exchange.js'
export type { Exchange, Headers, LossCause, Reply } from './types.js'
