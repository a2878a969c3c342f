/** HTTP/1.1 towards callers, other nodes and upstreams. */
export { isFramed } from './answer-head.js'
export { viaValue } from './constants.js'
export { Exchange } from './exchange.js'
export { findHeader, filterEndToEndHeaders } from './headers.js'
export { Listener } from './listener.js'
export { formatLoad, parseLoad } from './load.js'
export { createProblem } from './problem.js'
export type { HeadRefusal, IdentificationResult, CallIdentifier, CallHandler } from './types.js'
