/** Settings of one node, provided by the platform at each start. Addresses are `IP:PORT` unless stated otherwise. */
export interface Settings {
  readonly name: string
  /** IP address of the VM, without a port. */
  readonly ip: string
  readonly failureDomain: string
  /** Service of the upstream on this VM. */
  readonly service: string
  readonly upstream: string
  readonly listen: {
    /** Serves the callers on this VM. */
    readonly callers: string
    /** Serves the other nodes. */
    readonly nodes: string
    /** Serves the readiness check of the platform. */
    readonly readiness: string
  }
  /** First and last port for datagrams between nodes. */
  readonly internalPorts: readonly [number, number]
  /** Address of the store from which the configuration and the list of targets are read. */
  readonly store: string
  /** Memory limit of a process on this VM, in megabytes. */
  readonly memoryMb: number
  readonly bounds: Bounds
}

/** Limits set by the deployment. They can change while the node runs. */
export interface Bounds {
  /** Time from SIGTERM until the process is killed, in milliseconds. */
  readonly graceMs: number
  /** Allowed number of retries per request. */
  readonly retryRatio: number
  /** Retries allowed in addition in each window, for all nodes together. */
  readonly retryAllowance: number
  /** Maximum number of health checks of one target per second. */
  readonly probesPerSecond: number
}
