import type { IncomingMessage } from 'node:http'
import type { Answer, Body, Call, Outcome } from '../call/types.js'

/** Routes one call to its outcome. */
export type Serve = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** A call recognised from a request head, or why there is none. */
export type Identified =
  | { readonly kind: 'call', readonly call: Call }
  | { readonly kind: 'refused', readonly status: number, readonly cause: 'unknown-service' | 'bad-request', readonly detail: string }

/** Makes a call of a request head. */
export type Identify = (request: IncomingMessage, signal: AbortSignal) => Identified
