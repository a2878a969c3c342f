import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { ConnectionPool } from './connection-pool.js'

/** Header names and values alternating. */
export type Headers = readonly string[]

/** Why an exchange ended without an answer. */
export type LossCause =
  | 'reset' // the connection ended before the answer
  | 'cut' // the connection ended within the answer
  | 'invalid' // not an answer, or that of another request
  | 'timeout'
  | 'left' // the caller gave up

/** What came of one request on one connection. */
export type ExchangeResult =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Headers, readonly body: Buffer }
  /** Nothing of the request was written. */
  | { readonly kind: 'unsent', readonly cause: 'connect-failed' | 'connect-timeout' | 'timeout' | 'left' }
  /** The request may have been read. */
  | { readonly kind: 'lost', readonly cause: LossCause }

/** One request, whole. */
export interface ExchangeOptions {
  readonly connections: ConnectionPool
  readonly clock: Clock
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Headers
  readonly body: Buffer
  /** Longest time in milliseconds for a new connection. */
  readonly connectMs: number
  /** Longest time in milliseconds for all. */
  readonly timeoutMs: number
  /** Ends the exchange when it aborts. */
  readonly signal?: CancelSignal | undefined
  /** Whether an answer head belongs to the request; a stray one ends the connection. */
  readonly matchesRequest?: ((status: number, headers: Headers) => boolean) | undefined
}
