/** Settings of one node, as the platform fills them in at each start. Addresses are `IP:PORT`. */
export interface Settings {
  readonly name: string
  /** Address of the VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Service of the upstream on this VM. */
  readonly service: string
  readonly upstream: string
  readonly listen: {
    /** For callers on this VM. */
    readonly callers: string
    /** For the other nodes. */
    readonly nodes: string
    /** For the readiness check. */
    readonly readiness: string
  }
  /** Ports for messages between nodes, first and last. */
  readonly internalPorts: readonly [number, number]
  /** Address of the store that the configuration and the targets are read from. */
  readonly store: string
  /** Memory that a process on this VM may take, in megabytes. */
  readonly memoryMb: number
  readonly bounds: Bounds
}

/** What the deployment allows. */
export interface Bounds {
  /** Milliseconds from SIGTERM to the kill. */
  readonly graceMs: number
  /** Requests sent once more, for each request. */
  readonly retryRatio: number
  /** Requests sent once more beside those, in each window, over all nodes. */
  readonly retryAllowance: number
  /** Health checks of one target a second. */
  readonly probesPerSecond: number
}
