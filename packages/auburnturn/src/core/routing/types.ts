import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Random } from '../random/index.js'

/** What one router knows of one target. Times are clock milliseconds. */
export interface Candidate {
  member: Member
  /** This router's own calls that the target has not answered. */
  inFlight: number
  /** Smoothed (geometric mean) time to an answer without waiting for a slot, in milliseconds; 0 while unknown. */
  latencyMs: number
  /** Smoothed share of attempts that failed. */
  errorShare: number
  /** Answers and failures seen since the target or its incarnation is new. */
  outcomes: number
  /** When the last outcome arrived, or the first call in flight started. */
  heardAt: number
  /** How long the target is left before a trial call while it is slow. */
  patienceMs: number
  /** Last load heard from the target itself, and when. */
  load: Load | undefined
  loadAt: number
  /** Calls of other routers that the last load shows. */
  others: number
  /** Share of belief in reports, 0 once they were contradicted. */
  trust: number
  incarnation: string | undefined
  /** When the target was new; `-Infinity` once it takes its full share. */
  newAt: number
  ejectedUntil: number
  /** Ejections without a success between them. */
  ejections: number
}

/** Picks one of at least one candidate. */
export type Policy = (candidates: readonly Candidate[], random: Random, now: number) => Candidate
