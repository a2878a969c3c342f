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

/** The platform's list of one service, which lags. A higher version is newer. */
export interface MemberList {
  readonly service: string
  readonly version: number
  readonly members: readonly Member[]
}

/** Why a member that the list calls live, or no longer names, is treated otherwise. */
export type Suspicion =
  | 'none'
  | 'missing' // the list dropped it together with too many others
  | 'said-leaving' // its own word, which is newer than the list
  | 'flapping' // it came and went too often
