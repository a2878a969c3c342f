import type { HistoryEvent } from 'auburnturn'

/** What happens to a VM, or to all. */
export type FaultName =
  | 'terminate-node' | 'kill-node' | 'pause-node' | 'reload-node'
  | 'crash-target' | 'pause-target' | 'drain-target'
  | 'delay-link' | 'reset-link' | 'swallow-requests' | 'swallow-answers' | 'silence-connections' | 'lose-datagrams'
  | 'cut-store' | 'refuse-store' | 'pause-store' | 'forget-history'
  | 'configure'

/** One fault of a plan. Times are milliseconds from the start of the load. */
export interface Fault {
  readonly at: number
  readonly name: FaultName
  /** Index of the VM that it strikes. */
  readonly vm: number
  readonly forMs: number
}

/** What a caller was told about one sending. */
export interface CallerOutcome {
  readonly sending: string
  /** Index of the caller's VM. */
  readonly vm: number
  readonly path: string
  readonly sentAt: number
  readonly endedAt: number
  /**
   * A status; `cut`: the connection ended without a whole answer, `cut-on-kept`: one that was used before, which may
   * have been closed as the request came; `unreached`: there was none; `left`: the caller has waited long enough.
   */
  readonly result: number | 'cut' | 'cut-on-kept' | 'unreached' | 'left'
}

/** A target began to work on a request. */
export interface Execution {
  readonly sending: string
  readonly target: string
  /** Index of the target's VM. */
  readonly vm: number
  readonly service: string
  readonly path: string
  readonly startedAt: number
}

/** A configuration that the store has acknowledged: the service of each path prefix. */
export interface PublishedConfiguration {
  readonly version: number
  readonly publishedAt: number
  readonly acknowledgedAt: number
  readonly routes: ReadonlyMap<string, string>
}

/** A target whose leaving the store has acknowledged. */
export interface Departure {
  readonly target: string
  readonly acknowledgedAt: number
}

/** A time in which a VM, or the store, was disturbed. */
export interface FaultPeriod {
  readonly component: number | 'store'
  readonly from: number
  readonly to: number
  /** Whether it was planned work, which loses no requests. */
  readonly planned: boolean
}

/** A process that ended otherwise than it was told to. */
export interface UnexpectedExit {
  readonly process: string
  readonly exitedAt: number
  readonly reason: string
}

/** Everything that was seen from outside the nodes. */
export interface Observation {
  readonly history: readonly HistoryEvent[]
  readonly outcomes: readonly CallerOutcome[]
  readonly executions: readonly Execution[]
  readonly configurations: readonly PublishedConfiguration[]
  readonly departures: readonly Departure[]
  readonly faultPeriods: readonly FaultPeriod[]
  readonly unexpectedExits: readonly UnexpectedExit[]
  /** When all faults were over; requests sent `recoveryMs` later are to be served. */
  readonly faultsEndedAt: number
}

/** A promise that a run broke. */
export interface Finding {
  readonly rule: string
  readonly detail: string
}

/** Checks one promise. */
export type Check = (observation: Observation) => Finding[]
