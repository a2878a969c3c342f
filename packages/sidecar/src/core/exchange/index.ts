/** One request and its whole answer on one connection: to targets, other nodes and the platform. */
export { BodyMemory } from './body-memory.js'
export { Connections } from './connections.js'
export { exchange } from './exchange.js'
export type { Holding } from './body-memory.js'
export type { Exchange, Headers, LossCause, Reply } from './types.js'
