import type { RawHeaders } from '../call/types.js'
import type { NotRunCause } from '../verdict/index.js'

/** A parsed ticket. It names the one target and incarnation that may run the call. */
export interface Ticket {
  readonly member: string
  readonly incarnation: string
  /** Number of the ticket within the incarnation, from 0. */
  readonly serial: number
  /** Message authentication code, in base64url. */
  readonly mac: string
}

/** A complete answer, recorded for later requests with the same ticket. */
export interface RecordedAnswer {
  readonly status: number
  readonly reason: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  readonly trailers: RawHeaders
}

/** Limits of the recorded outcomes, from the profile: their maximum age and total size. */
export interface LedgerLimits {
  readonly windowMs: number
  readonly memoryBytes: number
}

/** The exclusive right to run a ticket's call. Exactly one of its methods must be called, once. */
export interface TicketClaim {
  /** The call ran or may have run; `answer` is undefined if it is incomplete or too large to record. */
  complete (answer: RecordedAnswer | undefined): void
  /** The call did not run and can no longer run under this ticket; the ticket `successor` replaces it. */
  refuse (cause: NotRunCause, successor: string): void
  /** The call did not run; the ticket becomes unused again. */
  release (): void
}

/** State of a ticket when it is redeemed. */
export type RedeemResult =
  | { readonly kind: 'claimed', readonly claim: TicketClaim }
  /** Another request with the ticket is running; `settled` is undefined if too many requests wait for it. */
  | { readonly kind: 'running', readonly settled: Promise<void> | undefined }
  | { readonly kind: 'recorded', readonly answer: RecordedAnswer }
  | { readonly kind: 'refused', readonly cause: NotRunCause, readonly successor: string }
  /** The call ran or may have run, and no answer is recorded. */
  | { readonly kind: 'spent' }
  /** Issued by another target or incarnation; only the issuer holds the state of the ticket. */
  | { readonly kind: 'foreign' }
  /** Malformed, never issued here, or used here for another request. */
  | { readonly kind: 'invalid', readonly cause: 'bad-request' | 'ticket-refused' }
