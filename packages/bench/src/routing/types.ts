import type { MeasuringCost, Policy, Profile, Random } from 'auburnturn'
import type { FailureSchedule, SpeedSchedule } from './simulated-upstream.js'

/** One routing policy of the comparison and its options. */
export interface PolicySetup {
  readonly name: string
  /** Called once per router, because some policies keep state. */
  readonly createPolicy: () => Policy
  /** Whether only the policy is used: no local runs, no probes, and no hedges unless `hedge` is set. */
  readonly policyOnly: boolean
  readonly hedge?: boolean
}

/** A change of the fleet during a run; `atMs` counts from the start of the run. */
export interface ScenarioEvent {
  readonly atMs: number
  readonly kind: 'drain' | 'join'
  readonly targetIndex: number
}

/** Fleet, load and faults of a run. Times are milliseconds from the start of the run. */
export interface Scenario {
  readonly name: string
  readonly group: 'steady' | 'shifting' | 'failing' | 'overload' | 'reports' | 'uneven' | 'crashing'
  readonly targetCount: number
  /** Rate of calls, as a share of what all targets can serve. */
  readonly offeredLoad: number
  readonly createSpeedSchedule: (targetIndex: number, random: Random) => SpeedSchedule
  readonly createFailureSchedule: (targetIndex: number) => FailureSchedule
  readonly events: readonly ScenarioEvent[]
  /** Age of the load reports on answers and probes when they are sent; the network delay adds to it. */
  readonly reportAgeMs: number
  /** Whether the first target always reports that it is idle and the second that it is full. */
  readonly falseReports: boolean
  /** Share of the calls that enter at the first node; the others are spread evenly over all nodes of targets. */
  readonly firstNodeShare: number
  /** The index of the target that a noisy neighbour is on at a given time; undefined without one. */
  readonly findNoisyTarget?: (now: number) => number
  /** Number of callers with an embedded router. If not 0, calls enter there instead of at the nodes of the targets. */
  readonly embeddedRouterCount: number
  /** Whether a caller repeatedly sends a request that crashes its upstream. */
  readonly resendsCrashingRequest: boolean
  readonly profile: Profile
}

/** Why calls were slow with a noisy neighbour, as shares of the slow calls. */
export interface SlowCallCauses {
  /** They had more work than 99 in 100 calls. */
  readonly long: number
  /** The neighbour moved to their target while they ran there. */
  readonly caught: number
  /** They were sent to the target that the neighbour was on. */
  readonly sent: number
}

/** Measurements of one run. */
export interface RunResult {
  readonly scene: string
  readonly contender: string
  readonly calls: number
  /** Percentiles of the time from the arrival of a call at a node to its answer, in milliseconds. */
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Calls answered before their deadline, as a share of what the targets can serve. */
  readonly goodput: number
  /** Shares of the calls that were refused and that failed. */
  readonly refused: number
  readonly failed: number
  /** Retries per first attempt. */
  readonly retries: number
  /** Share of the answers that came from the target at the node where the call entered. */
  readonly oneHop: number
  readonly measuring: MeasuringCost
  /** The largest number of measuring messages and bytes that one node sent in any second. */
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  /** Measuring messages and bytes per second that the profile allows. */
  readonly messagesAllowed: number
  readonly bytesAllowed: number
  /** Bytes of measuring messages, as a share of the bytes of calls. */
  readonly probeShare: number
  readonly crashes: number
  /** Causes of the latency of the calls above p99, as shares of them. */
  readonly slowest?: SlowCallCauses
  /** Number of calls that each target answered. */
  readonly perTarget: readonly number[]
}
