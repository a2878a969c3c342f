/** A target as the platform's list shows it. */
export interface ListedTarget {
  /** Names one lifetime of the target. */
  readonly id: string
  readonly service: string
  /** `IP:PORT` of the upstream itself, reachable on its own VM only. */
  readonly address: string
  readonly ip: string
  readonly failureDomain: string
  /** Requests it processes at a time. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Milliseconds after which it is no longer slow from its start, counted from the arrival of the entry. */
  readonly coldMs: number
}

/** Whether the node beside a target lets work in. */
export type TargetState = 'up' | 'down' | 'closing'

/** What the node beside a target says of it. */
export interface TargetReport {
  readonly id: string
  readonly service: string
  readonly failureDomain: string
  readonly state: TargetState
  /** The target has started while the node looked on, so the list may not show it yet. */
  readonly fresh: boolean
  readonly running: number
  readonly waiting: number
  /** Requests that the node lets run at a time. */
  readonly limit: number
  /** How long work takes at the moment; 1 is as usual. */
  readonly slowness: number
  /** Share of the latest requests that failed at the target. */
  readonly failures: number
}

/** A target that may be chosen, with all that the choice needs. */
export interface Candidate {
  readonly id: string
  readonly service: string
  readonly ip: string
  readonly failureDomain: string
  readonly state: TargetState
  readonly running: number
  readonly waiting: number
  readonly limit: number
  readonly slowness: number
  readonly cold: boolean
  readonly failures: number
  /** Milliseconds since its node was last heard; Infinity when never. */
  readonly reportAgeMs: number
}

/** Where a target is. */
export interface TargetLocation {
  /** Address of its VM. */
  readonly ip: string
  readonly service: string
  readonly failureDomain: string
}

/** Where all known targets are. */
export interface TargetLocations {
  /** Changes when a target of a service appears at an address, or disappears. */
  readonly version: number
  /** VMs that are known. */
  readonly vmCount: number
  /** Addresses of all VMs that the list or their own nodes name. */
  readonly addresses: Iterable<string>
  /** Failure domains that have targets. */
  readonly domainCount: number
  readonly services: Iterable<string>
  /** Undefined for an address that is not known. */
  domainOf (ip: string): string | undefined
  locationsOf (service: string): TargetLocation[]
}
