/** A request that runs at the target on this VM. */
export interface RunningRequest {
  /** Hash of what identifies the request, see `computeFingerprint`. */
  readonly fingerprint: string
  /** Whether the target was kept free of other requests. */
  readonly exclusive: boolean
}

/** What shows that a target has ended: it refuses connections, or another incarnation answers at its address. */
export type CrashSign = 'refused-connection' | 'new-incarnation'

/** A request that was in flight when a target crashed. */
export interface Suspect {
  readonly fingerprint: string
  /** Whether it ran alone. */
  readonly alone: boolean
  /** Whether a target has answered it since, so that it is not to blame. */
  readonly cleared: boolean
}

/** The unplanned end of one incarnation of a target, with the requests that it may have been working on. */
export interface DetectedCrash {
  /** Id of the incarnation. */
  readonly target: string
  /** When its connections were lost, in clock milliseconds. */
  readonly at: number
  readonly sign: CrashSign
  readonly suspects: readonly Suspect[]
}

/** A crash as all nodes of the service know it. */
export interface CrashRecord {
  /** Id of the incarnation that crashed; a target may start again under the same one. */
  readonly target: string
  /** Counts the crashes under the same id. */
  readonly number: number
  /** Address of the node that detected it. */
  readonly node: string
  /** Clock milliseconds of this node. */
  readonly at: number
  readonly suspects: readonly Suspect[]
}

/** A crash record for another node, whose clock differs. */
export interface CrashNotice extends Omit<CrashRecord, 'at'> {
  readonly kind: 'crash'
  /** Milliseconds since the crash. */
  readonly ageMs: number
}

/** Checksum of the crashes that a node knows. The receiver sends those that it knows if its own checksum differs. */
export interface CrashDigest {
  readonly kind: 'crash-digest'
  readonly checksum: number
  /** Whether it answers another digest, and is not answered by one. */
  readonly isAnswer: boolean
}

/** How a request may run: like any other, alone on the trial target of its service, or not at all. */
export type Treatment =
  | { readonly kind: 'usual' }
  | { readonly kind: 'alone', readonly waitMs: number } // not before other crashes of the same moment are known
  | { readonly kind: 'refused', readonly retryAfterMs: number }
