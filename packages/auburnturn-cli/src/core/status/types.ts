/** What one node says of itself; undefined where it does not say. */
export interface NodeStatus {
  readonly address: string
  readonly node: string | undefined
  readonly service: string | undefined
  readonly state: string | undefined
  readonly version: number | undefined
  readonly digest: string | undefined
  /** Milliseconds since the configuration in force was last confirmed. */
  readonly confirmedAgeMs: number | undefined
  readonly source: string | undefined
  /** Milliseconds since the platform last answered. */
  readonly platformSilentMs: number | undefined
  readonly members: number | undefined
  readonly inFlight: number | undefined
  readonly slots: number | undefined
  readonly queued: number | undefined
  /** Bytes spent on measuring since the start. */
  readonly measuredBytes: number | undefined
  readonly relayBytesPerSecond: number | undefined
  readonly role: string | undefined
}

/** A node that gave no status. */
export interface UnreachableNode {
  readonly address: string
  readonly problem: string
}

/** Why a node needs a look. */
export type Concern = 'behind' | 'differs' | 'draining' | 'starting' | 'platform silent'

/** The status of a node with what is of concern about it. */
export interface ComparedStatus extends NodeStatus {
  readonly concerns: readonly Concern[]
}
