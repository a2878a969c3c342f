/** Forwards requests from a caller to a target, over the nodes on the VMs of both, and the answers back. */
export { peerIdleTimeoutMs } from './constants.js'
export { Forwarder } from './forwarder.js'
export { Ingress } from './ingress.js'
export { servePeer } from './peer-server.js'
export { Peers } from './peers.js'
export type { AnswerHead, Protocol, RequestHead, TargetLoad } from './types.js'
