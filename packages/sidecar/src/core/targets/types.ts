import type { RateAllowance } from '../rate-limit/index.js'

/** A target as listed in the platform's store. */
export interface ListedTarget {
  /** Identifies one incarnation of the target. */
  readonly id: string
  readonly service: string
  /** `IP:PORT` of the upstream itself, reachable only from its own VM. */
  readonly address: string
  readonly ip: string
  readonly failureDomain: string
  /** Number of requests that it can process concurrently. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Remaining time of its slow start in milliseconds, counted from the arrival of the entry. */
  readonly coldMs: number
}

/** Whether the node of a target admits requests. */
export type TargetState = 'up' | 'down' | 'closing'

/** The state of a target as reported by the node on the same VM. */
export interface TargetReport extends RateAllowance {
  readonly id: string
  readonly service: string
  readonly failureDomain: string
  readonly state: TargetState
  /** Whether the target has started while its node was running, so that the list may not contain it yet. */
  readonly fresh: boolean
  /** Number of requests that run. */
  readonly running: number
  /** Number of requests in the queue of the node. */
  readonly waiting: number
  /** Maximum number of requests that the node runs concurrently. */
  readonly limit: number
  /** Present service time relative to the usual one; 1 is as usual. */
  readonly slowness: number
  /** Share of recent requests that failed at the target, between 0 and 1. */
  readonly failures: number
}

/** A target that may be chosen for a request, with the inputs of the choice; fields without a comment as in `TargetReport`. */
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
  /** Whether the target has just started and is still slow. */
  readonly cold: boolean
  readonly failures: number
  /** Milliseconds until the rate limit of the target lets a request through; 0 without a limit, Infinity if it takes none. */
  readonly rateWaitMs: number
  /** Milliseconds since the last report of its node; Infinity if there is none. */
  readonly reportAgeMs: number
}

/** The VM and failure domain of a target. */
export interface TargetLocation {
  /** Address of its VM. */
  readonly ip: string
  readonly service: string
  readonly failureDomain: string
}

/** The locations of all known targets. */
export interface TargetLocations {
  /** Changes whenever a service appears at or disappears from an address, or a VM changes its failure domain. */
  readonly version: number
  /** Number of known VMs. */
  readonly vmCount: number
  /** Addresses of all VMs that are listed or whose node has sent a report. */
  readonly addresses: Iterable<string>
  /** Number of failure domains that have targets. */
  readonly domainCount: number
  readonly services: Iterable<string>
  /** Returns the failure domain of a VM, or undefined if the address is unknown. */
  getDomain (ip: string): string | undefined
  getServiceLocations (service: string): TargetLocation[]
}
