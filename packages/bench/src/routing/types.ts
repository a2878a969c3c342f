import type { MeasuringCost, Policy, Profile, Random } from 'auburnturn'
import type { FailureSchedule, SpeedSchedule } from './simulated-upstream.js'

/** One way of routing that is compared. */
export interface PolicySetup {
  readonly name: string
  /** Made anew for every router, as some policies keep state. */
  readonly createPolicy: () => Policy
  /** Whether it is a plain policy: no local runs, no probes, and no hedges unless `hedge` is set. */
  readonly policyOnly: boolean
  readonly hedge?: boolean
}

/** What happens to the fleet at a moment of a run, in milliseconds from its start. */
export interface ScenarioEvent {
  readonly atMs: number
  readonly kind: 'drain' | 'join'
  readonly targetIndex: number
}

/** A run's setting. Times are milliseconds from the start of the run. */
export interface Scenario {
  readonly name: string
  readonly group: 'steady' | 'shifting' | 'failing' | 'overload' | 'reports' | 'uneven' | 'crashing'
  readonly targetCount: number
  /** Calls offered as a share of what all targets can serve. */
  readonly offeredLoad: number
  readonly createSpeedSchedule: (target: number, random: Random) => SpeedSchedule
  readonly createFailureSchedule: (target: number) => FailureSchedule
  readonly events: readonly ScenarioEvent[]
  /** How old the reports on replies and probes are when they arrive, besides the way. */
  readonly reportAgeMs: number
  /** Whether the first target always reports idle and the second full. */
  readonly falseReports: boolean
  /** Share of the calls that enter at the first node; the rest enter evenly. */
  readonly firstNodeShare: number
  /** Which target a noisy neighbour is on at a moment, if there is one. */
  readonly findNoisyTarget?: (now: number) => number
  /** Routers of callers that embed one; calls enter there instead of at the targets' nodes. */
  readonly embeddedRouterCount: number
  /** Whether a request that crashes its upstream is sent again and again. */
  readonly resendsCrashingRequest: boolean
  readonly profile: Profile
}

/** What made calls slow under a noisy neighbour. */
export interface SlowCallCauses {
  /** More work than 99 in 100 calls have. */
  readonly long: number
  /** The neighbour came to the target while they ran there. */
  readonly caught: number
  /** They were sent to a target that the neighbour was on. */
  readonly sent: number
}

/** What came of one run. */
export interface RunResult {
  readonly scene: string
  readonly contender: string
  readonly calls: number
  /** From a node's taking the call to its answer, in milliseconds. */
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Answers in time, as a share of what the targets can serve. */
  readonly goodput: number
  /** Shares of calls. */
  readonly refused: number
  readonly failed: number
  readonly retries: number
  readonly oneHop: number
  readonly measuring: MeasuringCost
  /** The most messages and bytes sent to measure in any second by one node. */
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  /** What the profile allows in a second. */
  readonly messagesAllowed: number
  readonly bytesAllowed: number
  /** Bytes sent to measure as a share of those of the calls. */
  readonly probeShare: number
  readonly crashes: number
  /** Why the slowest of the calls were slow, as shares of the calls above p99. */
  readonly slowest?: SlowCallCauses
  /** Calls that each target answered. */
  readonly perTarget: readonly number[]
}
