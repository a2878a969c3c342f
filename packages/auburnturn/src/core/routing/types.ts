import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Random } from '../random/index.js'

/** What one router knows of one target. Times are clock milliseconds. */
export interface Candidate {
  readonly member: Member
  /** This router's own calls that the target has not answered. */
  inFlight: number
  /** Smoothed time from attempt to answer head, in milliseconds. */
  latencyMs: number
  /** Smoothed share of attempts that failed. */
  errorShare: number
  /** Last load heard from the target itself, and when. */
  load: Load | undefined
  loadAt: number
}

/** Picks one of at least one candidate. */
export type Policy = (candidates: readonly Candidate[], random: Random, now: number) => Candidate
