import type { IncomingMessage } from 'node:http'
import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { CancelSignal } from '../clock/index.js'
import type { NotRunCause } from '../verdict/index.js'

/** Routes one call to its outcome. */
export type CallHandler = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** Why a request head is refused before it becomes a call: nothing ran. */
export interface HeadRefusal {
  readonly kind: 'refused'
  readonly cause: NotRunCause
  readonly detail: string
  /** Set where it differs from the usual status of the cause. */
  readonly status?: number
}

/** A call recognised from a request head, or why there is none. */
export type IdentificationResult = { readonly kind: 'call', readonly call: Call } | HeadRefusal

/** Makes a call of a request head. */
export type CallIdentifier = (request: IncomingMessage, signal: CancelSignal) => IdentificationResult
