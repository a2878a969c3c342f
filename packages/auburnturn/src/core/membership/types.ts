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

/** The platform's list, which lags. */
export interface MemberList {
  readonly version: number
  readonly members: readonly Member[]
}
