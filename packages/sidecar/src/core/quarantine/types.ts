/** A request that runs at the target on this VM. */
export interface RunningRequest {
  /** Hash of what identifies the request, see `computeFingerprint`. */
  readonly fingerprint: string
  /** Whether no other request ran beside it. */
  readonly alone: boolean
}

/** What shows that a target has ended: it refuses connections, or another incarnation answers at its address. */
export type CrashSign = 'refused-connection' | 'new-incarnation'

/** The unplanned end of one incarnation of a target, with the requests that it may have been working on. */
export interface DetectedCrash {
  /** Id of the incarnation. */
  readonly target: string
  /** When its connections were lost, in clock milliseconds. */
  readonly at: number
  readonly sign: CrashSign
  readonly requests: readonly RunningRequest[]
}
