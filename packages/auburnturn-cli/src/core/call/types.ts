/** One call to send by hand. */
export interface CallRequest {
  /** Origin of a node's address for callers. */
  readonly origin: string
  readonly service: string
  readonly path: string
  readonly method: string
  readonly body: string | undefined
  /** Time left for the call, in milliseconds. */
  readonly timeoutMs: number | undefined
  /** The caller's own word on whether the call may repeat. */
  readonly idempotent: 'yes' | 'no' | undefined
  readonly ticket: string | undefined
}

/** What became of a call sent by hand. */
export interface CallReport {
  readonly verdict: 'done' | 'not-run' | 'may-have-run'
  readonly cause: string | undefined
  readonly status: number | undefined
  readonly milliseconds: number
  /** Targets that were tried, in order, with what became of those that did not answer. */
  readonly way: string | undefined
  readonly body: string
}
