import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Random } from '../random/index.js'

/** Averages over all targets of a service. */
export interface ServiceAverage {
  /** Smoothed time to an answer, in milliseconds; 0 before the first answer. */
  latencyMs: number
}

/** The estimates that one router holds for one target. Times are clock milliseconds. */
export interface Candidate {
  member: Member
  /** Calls of this router that the target has not answered. */
  inFlight: number
  /** Calls in flight integrated over time (calls x milliseconds), decaying with `timeConstantMs`; valid at `updatedAt`. */
  busyMs: number
  /** Number of answers, decaying with `timeConstantMs`; valid at `updatedAt`. */
  answers: number
  timeConstantMs: number
  updatedAt: number
  /** When the target was last found to be slow and its time constant was raised. */
  lastSlowAt: number
  /** Shared by all targets of the service. */
  readonly serviceAverage: ServiceAverage
  /** Smoothed share of attempts that failed. */
  errorShare: number
  /** Answers and failures since the estimates were last reset. */
  outcomeCount: number
  /** The last load that the target reported, and when it was received. */
  load: Load | undefined
  loadReceivedAt: number
  /** Calls of other routers, according to the last reported load. */
  others: number
  /** Weight of load reports, from 0 to 1; 0 after a report was contradicted. */
  reportConfidence: number
  incarnation: string | undefined
  /** When the target or its incarnation appeared; `-Infinity` for a target that gets its full share without a ramp. */
  rampStartedAt: number
  ejectedUntil: number
  /** Ejections since the share of errors was last low, that is below half of `ejectionExcessShare`. */
  consecutiveEjections: number
}

/** Chooses one of the candidates, of which there is at least one. */
export type Policy = (candidates: readonly Candidate[], random: Random, now: number) => Candidate
