/** The way of a request: from a caller to the node beside a target, and back. */
export { peerIdleTimeoutMs } from './constants.js'
export { Forwarder } from './forwarder.js'
export { Ingress } from './ingress.js'
export { servePeer } from './peer-server.js'
export { Peers } from './peers.js'
export type { AnswerHead, Protocol, RequestHead, TargetLoad } from './types.js'
