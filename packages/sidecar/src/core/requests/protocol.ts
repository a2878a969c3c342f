import type { Headers } from '../exchange/index.js'
import type { AnswerHead } from './answer-head.js'
import type { RequestHead, TargetRequestHead } from './request-head.js'

/** Reads and writes the headers of requests and answers on the platform. */
export interface Protocol {
  readRequest (headers: Headers): RequestHead
  /** Returns the request headers to forward: without hop-by-hop headers and those that each node sets itself. */
  filterRequest (headers: Headers): string[]
  /** Adds the headers that a target expects to those that are forwarded. */
  writeRequest (headers: Headers, head: TargetRequestHead): string[]
  /** Returns the headers of a health check with an id of its own. */
  writeHealthCheck (id: string): string[]
  readAnswer (status: number, headers: Headers): AnswerHead
  /** Returns the answer headers for the caller: without hop-by-hop headers, the length and the load. */
  filterAnswer (headers: Headers): string[]
}
