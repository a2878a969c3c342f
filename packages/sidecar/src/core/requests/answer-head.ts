/** Load that a target reports. */
export interface TargetLoad {
  /** Requests being processed. */
  readonly running: number
  /** Requests in the queue of the target. */
  readonly waiting: number
  /** Requests that the target processes at a time. */
  readonly slots: number
  /** Present service time relative to the usual one, which is 1. */
  readonly slowness: number | undefined
}

/** Rate limit that an answer names, in requests per second; 'unreadable' for a value that is no such number. */
export type NamedRateLimit = number | 'none' | 'unreadable'

/** Fields of an answer head that this system uses. */
export interface AnswerHead {
  /** Id of the attempt that is answered; empty when missing, or given more than once. */
  readonly id: string
  /** The target certifies that it made the answer. */
  readonly sealed: boolean
  /** The target reports that it did not run the request. */
  readonly notRun: boolean
  /** The answer has a content encoding, so the body is not as the target made it. */
  readonly encoded: boolean
  /** The target announces that it drains: it ends soon. */
  readonly draining: boolean
  /** Requests per second that the target takes from all nodes together. */
  readonly rateLimit: NamedRateLimit
  /** Id of the target; empty when missing. */
  readonly targetId: string
  readonly load: TargetLoad | undefined
}
