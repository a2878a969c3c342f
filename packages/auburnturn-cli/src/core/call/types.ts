/** One call to send from the command line. */
export interface CallRequest {
  /** HTTP origin of the address on which the node accepts callers. */
  readonly origin: string
  readonly service: string
  readonly path: string
  readonly method: string
  readonly body: string | undefined
  /** Timeout of the call in milliseconds; undefined sends none, so that the node chooses it. */
  readonly timeoutMs: number | undefined
  /** Whether the caller declares the call idempotent; undefined if it declares nothing. */
  readonly idempotent: 'yes' | 'no' | undefined
  readonly ticket: string | undefined
}

/** Outcome of a call sent from the command line. */
export interface CallReport {
  readonly verdict: 'done' | 'not-run' | 'may-have-run'
  readonly cause: string | undefined
  readonly status: number | undefined
  readonly milliseconds: number
  /** Tried targets in order, with the outcome of those that did not answer. */
  readonly way: string | undefined
  readonly body: string
}
