import type { RawHeaders } from '../call/types.js'
import type { NotRunCause } from '../verdict/index.js'

/** A ticket taken apart. It names the one target and incarnation that may run the call. */
export interface Ticket {
  readonly member: string
  readonly incarnation: string
  /** Counts the tickets of one incarnation from 0. */
  readonly serial: number
  readonly mac: string
}

/** A whole answer kept for later sendings of the same ticket. */
export interface RecordedAnswer {
  readonly status: number
  readonly reason: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  readonly trailers: RawHeaders
}

/** Bounds of the memory, from the profile. */
export interface LedgerLimits {
  readonly windowMs: number
  readonly memoryBytes: number
}

/** The right to run a ticket's call; exactly one of its methods is to be called, once. */
export interface TicketClaim {
  /** The call ran or may have run; `answer` is absent when it isn't whole or too large to keep. */
  complete (answer: RecordedAnswer | undefined): void
  /** The call did not run and never will under this ticket; `successor` replaces it. */
  refuse (cause: NotRunCause, successor: string): void
  /** The call did not run; the ticket is unused as before. */
  release (): void
}

/** What the ledger knows of a ticket that is presented. */
export type RedeemResult =
  | { readonly kind: 'claimed', readonly claim: TicketClaim }
  /** Another sending runs; `settled` is absent when too many wait for it. */
  | { readonly kind: 'running', readonly settled: Promise<void> | undefined }
  | { readonly kind: 'recorded', readonly answer: RecordedAnswer }
  | { readonly kind: 'refused', readonly cause: NotRunCause, readonly successor: string }
  /** Ran or may have run, and the answer isn't held. */
  | { readonly kind: 'spent' }
  /** Issued by another target or incarnation, which alone can know. */
  | { readonly kind: 'foreign' }
  /** Never issued here, or issued here for another request. */
  | { readonly kind: 'invalid', readonly cause: 'bad-request' | 'ticket-refused' }
