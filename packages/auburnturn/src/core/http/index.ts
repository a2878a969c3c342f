/** HTTP/1.1 connections with callers, other nodes and upstreams. */
export { isFramed } from './answer-head.js'
export { viaValue } from './constants.js'
export { Exchange } from './exchange.js'
export { filterEndToEndHeaders, countHeader, findHeader } from './headers.js'
export { Listener } from './listener.js'
export { formatLoad, parseLoad } from './load.js'
export { createProblem } from './problem.js'
export type { CallHandler, CallIdentifier, HeadRefusal, IdentificationResult } from './types.js'
