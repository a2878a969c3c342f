/** Status from the dump of one node; a field is undefined where the dump does not have it. */
export interface NodeStatus {
  readonly address: string
  readonly node: string | undefined
  readonly service: string | undefined
  readonly state: string | undefined
  readonly version: number | undefined
  readonly digest: string | undefined
  /** Milliseconds since the active configuration was last confirmed. */
  readonly confirmedAgeMs: number | undefined
  readonly source: string | undefined
  /** Milliseconds since the platform last answered. */
  readonly platformSilentMs: number | undefined
  readonly members: number | undefined
  readonly inFlight: number | undefined
  readonly slots: number | undefined
  readonly queued: number | undefined
  /** Bytes used for measuring since the node started. */
  readonly measuredBytes: number | undefined
  readonly relayBytesPerSecond: number | undefined
  readonly role: string | undefined
}

/** A node whose status could not be read. */
export interface UnreachableNode {
  readonly address: string
  readonly problem: string
}

/** Reason why a node needs attention. */
export type Concern = 'behind' | 'differs' | 'draining' | 'starting' | 'platform silent'

/** Status of a node with its concerns. */
export interface ComparedStatus extends NodeStatus {
  readonly concerns: readonly Concern[]
}
