import type { IncomingMessage } from 'node:http'
import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { CancelSignal } from '../clock/index.js'
import type { NotRunCause } from '../verdict/index.js'

/** Handles one call, writes its answer and returns its outcome. */
export type CallHandler = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** The refusal of a request head before it becomes a call; nothing ran. */
export interface HeadRefusal {
  readonly kind: 'refused'
  readonly cause: NotRunCause
  readonly detail: string
  /** Set if it differs from the usual status of the cause. */
  readonly status?: number
}

/** A call created from a request head, or its refusal. */
export type IdentificationResult = { readonly kind: 'call', readonly call: Call } | HeadRefusal

/** Creates a call from a request head, or refuses the head. */
export type CallIdentifier = (request: IncomingMessage, signal: CancelSignal) => IdentificationResult
