/** Fields of a caller's request head that this system uses. */
export interface RequestHead {
  /** Id of the caller's attempt; empty when missing. */
  readonly id: string
  /** Time that the caller still waits, in milliseconds; undefined when missing or invalid. */
  readonly timeoutMs: number | undefined
}

/** Fields that a target expects in the head of a request. */
export interface TargetRequestHead {
  /** Id of the caller's attempt. */
  readonly id: string
  /** Time that the caller still waits, in milliseconds. */
  readonly timeoutMs: number
  /** Service on the VM where the request originated. */
  readonly caller: string
  /** Id of the only target that may run the request. */
  readonly target: string
}
