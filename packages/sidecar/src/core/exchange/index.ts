/** Sends one request on one connection and receives its whole answer: for targets, other nodes and the platform. */
export { Answer } from './answer.js'
export { isConnectionRefused } from './check-connection.js'
export { ConnectionPool } from './connection-pool.js'
export { exchange } from './exchange.js'
export { isFinalStatus } from './final-status.js'
export type { ConnectionUse, Exchange, ExchangeOptions, Headers, LossCause, ExchangeResult } from './types.js'
