import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { CallMark } from '../attribution/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { LossCause } from '../exchange/index.js'

/** One message between two nodes: text fields, none of which contains a line feed, and the bytes of a body. */
export interface Frame {
  readonly fields: readonly string[]
  readonly body: Buffer
}

/** The answer of a node to a call, with the id of the request that it answers. */
export interface PeerCallAnswer extends Frame {
  readonly request: string
}

/** Result of one call on one connection. */
export type PeerCallResult =
  | { readonly kind: 'answer', readonly frame: Frame }
  /** No part of the call was written. */
  | { readonly kind: 'unsent', readonly cause: 'connect-failed' | 'connect-timeout' | 'timeout' | 'left' }
  /** The other node may have read the call. */
  | { readonly kind: 'lost', readonly cause: LossCause }

/** A call to another node, and how it is sent. */
export interface PeerCallOptions {
  readonly frame: Frame
  /** What the answer must repeat; one that does not belongs to another call, and is invalid. */
  readonly mark: CallMark
  readonly clock: Clock
  readonly bodyLimits: BodyLimits
  /** Maximum time to open a new connection, in milliseconds. */
  readonly connectMs: number
  /** Maximum time for the whole call, in milliseconds. */
  readonly timeoutMs: number
  /** Cancels the call; its connection is closed, by which the other node learns of it. */
  readonly signal: CancelSignal
}
