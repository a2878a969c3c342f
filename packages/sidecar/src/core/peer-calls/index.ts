/** Calls between nodes: one frame there and one back, on kept TCP connections. */
export { callPeer } from './peer-call.js'
export { PeerCallServer } from './peer-call-server.js'
export { PeerConnectionPool } from './peer-connection-pool.js'
export type { PeerCallHandler } from './peer-call-server.js'
export type { Frame, PeerCallAnswer, PeerCallOptions, PeerCallResult } from './types.js'
