/** Forwards requests from a caller to a target, over the nodes on the VMs of both, and the answers back. */
export { maxRetryAfterShare, peerIdleTimeoutMs } from './constants.js'
export { Forwarder } from './forwarder.js'
export { Ingress } from './ingress.js'
export { Peers } from './peers.js'
export { createRequestHandler } from './serve-request.js'
export { serveState } from './state-server.js'
export type { RequestSender } from './types.js'
