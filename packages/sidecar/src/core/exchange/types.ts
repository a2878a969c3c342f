import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Ownership } from '../attribution/index.js'
import type { Answer } from './answer.js'
import type { ConnectionPool } from './connection-pool.js'

/** Alternating header names and values. */
export type Headers = readonly string[]

/** Why a request that may have been sent got no whole answer. */
export type LossCause =
  | 'reset' // the connection ended before the answer
  | 'cut' // the connection ended within the answer
  | 'invalid' // not a valid HTTP answer, or too large
  | 'foreign' // the answer to another request, or one that was read from the bytes of two answers
  | 'timeout'
  | 'left' // the caller cancelled the request

/** How a connection was used before a request. */
export interface ConnectionUse {
  /** Number of earlier requests; 0 on a new connection. */
  readonly earlierRequests: number
  /** Milliseconds since it was opened. */
  readonly ageMs: number
}

/** Result of one request on one connection. */
export type ExchangeResult =
  | Answer
  /** No part of the request was written. */
  | { readonly kind: 'unsent', readonly cause: 'connect-failed' | 'connect-timeout' | 'timeout' | 'left' }
  /** The server may have read the request. */
  | { readonly kind: 'lost', readonly cause: LossCause }

/** A whole request, and how it is sent. */
export interface ExchangeOptions {
  readonly connections: ConnectionPool
  readonly clock: Clock
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Headers
  readonly body: Buffer
  /** Maximum time to open a new connection, in milliseconds. */
  readonly connectMs: number
  /** Maximum time for the whole exchange, in milliseconds. */
  readonly timeoutMs: number
  /** Aborts the exchange. */
  readonly signal?: CancelSignal | undefined
  /** Whether a request that was sent goes on when the signal aborts; one that waits for its connection never does. */
  readonly completesOnceSent?: boolean
  /** Whether an answer head belongs to the request; if not, the connection is closed. */
  readonly belongs: Ownership
}

/** Sends one request and receives its whole answer. Never rejects. */
export type Exchange = (options: ExchangeOptions) => Promise<ExchangeResult>
