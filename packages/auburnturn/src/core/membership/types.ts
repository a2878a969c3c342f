/** One target: an upstream VM with its node. */
export interface Member {
  /** Unique name of the target, such as `orders-1`. */
  readonly id: string
  readonly service: string
  readonly region: string
  readonly failureDomain: string
  readonly ip: string
  /** Port of the node for calls from other nodes. */
  readonly peerPort: number
  /** Port of the node for control messages. */
  readonly controlPort: number
  readonly state: 'live' | 'leaving'
}

/** The platform's list of the members of one service. It lags behind the actual state. A higher version is newer. */
export interface MemberList {
  readonly service: string
  readonly version: number
  readonly members: readonly Member[]
}

/** Why the state assumed for a member differs from the platform's list. */
export type Suspicion =
  | 'none'
  | 'missing' // the list removed it, or marked it as leaving, together with too many others
  | 'said-leaving' // its node announced that it is leaving, which is newer than the list
  | 'flapping' // it returned to the list too often
