import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Random } from '../random/index.js'

/** What is usual for a service, whichever target answers. */
export interface ServiceAverage {
  /** Smoothed time to an answer, in milliseconds; 0 before the first. */
  latencyMs: number
}

/** What one router knows of one target. Times are clock milliseconds. */
export interface Candidate {
  member: Member
  /** This router's own calls that the target has not answered. */
  inFlight: number
  /** Calls in flight summed over time, and answers, both fading with `memoryMs`; up to `notedAt`. */
  busyMs: number
  answers: number
  timeConstantMs: number
  updatedAt: number
  /** When the target was last found slow; its memory grows when that lasts. */
  lastSlowAt: number
  /** Shared by all targets of the service. */
  readonly serviceAverage: ServiceAverage
  /** Smoothed share of attempts that failed. */
  errorShare: number
  /** Answers and failures seen since the target or its incarnation is new. */
  outcomeCount: number
  /** Last load heard from the target itself, and when. */
  load: Load | undefined
  loadReceivedAt: number
  /** Calls of other routers that the last load shows. */
  others: number
  /** Share of belief in reports, 0 once they were contradicted. */
  reportConfidence: number
  incarnation: string | undefined
  /** When the target was new; `-Infinity` once it takes its full share. */
  rampStartedAt: number
  ejectedUntil: number
  /** Ejections without a success between them. */
  consecutiveEjections: number
}

/** Picks one of at least one candidate. */
export type Policy = (candidates: readonly Candidate[], random: Random, now: number) => Candidate
