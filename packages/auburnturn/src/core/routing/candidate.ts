import type { Outcome } from '../call/types.js'
import type { Member } from '../membership/types.js'
import { closedLifeMs, ejectionOutcomes, ejectionShare, errorSmoothing, firstEjectionMs, firstPatienceMs, knownAnswers, maxEjectionMs, maxPatienceMs, rampFloor, rampMs, reportLagMs, reportLifeMs, slowRatio, smoothing, trustRegained } from './constants.js'
import type { Candidate } from './types.js'

/** A target of which nothing is known; `newAt` is when it appeared, `-Infinity` for one that was always there. */
export function createCandidate (member: Member, newAt: number): Candidate {
  return {
    member,
    inFlight: 0,
    latencyMs: 0,
    errorShare: 0,
    outcomes: 0,
    heardAt: newAt,
    patienceMs: firstPatienceMs,
    load: undefined,
    loadAt: 0,
    others: 0,
    trust: 1,
    incarnation: undefined,
    newAt,
    ejectedUntil: -Infinity,
    ejections: 0
  }
}

/** Calls expected at the target now: this router's own, and those of others as far as the report still weighs. */
export function estimateCalls (candidate: Candidate, now: number): number {
  if (candidate.others === 0) return candidate.inFlight
  const weight = candidate.trust * Math.exp((candidate.loadAt - now) / reportLifeMs)
  return candidate.inFlight + candidate.others * weight
}

/** Expected time to an answer, in milliseconds: what was seen, or more when answers fail to appear. */
export function estimateLatency (candidate: Candidate, now: number): number {
  if (candidate.inFlight === 0) return candidate.latencyMs
  // Of n calls one is expected back every latency/n; silence beyond that is slowness not yet answered.
  const silence = (now - candidate.heardAt) * Math.min(candidate.inFlight, 8) / 2
  return Math.max(candidate.latencyMs, silence)
}

/** Whether the target may take calls as far as its state and its errors tell. */
export function isUsable (candidate: Candidate, now: number): boolean {
  if (now < candidate.ejectedUntil) return false
  const { load } = candidate
  return load === undefined || load.state === 'serving' || now - candidate.loadAt > closedLifeMs
}

/** The share of its full load that a target may take while it is new. */
export function rampShare (candidate: Candidate, now: number): number {
  if (candidate.newAt === -Infinity) return 1
  return Math.min(1, Math.max(rampFloor, (now - candidate.newAt) / rampMs))
}

/** Takes in a load that a reply or a probe carried; reports can't deny calls of our own. */
export function noteLoad (candidate: Candidate, load: Outcome['load'], now: number, lastStartAt: number): void {
  if (load === undefined) return
  const shown = load.running + load.queued
  const settled = now - lastStartAt > reportLagMs
  if (settled && shown < candidate.inFlight) candidate.trust = 0
  else candidate.trust = Math.min(1, candidate.trust + trustRegained)
  candidate.others = Math.max(0, shown - candidate.inFlight)
  candidate.load = load
  candidate.loadAt = now
}

/** Starts the ramp again when another incarnation answers. */
export function noteIncarnation (candidate: Candidate, incarnation: string | undefined, now: number): void {
  if (incarnation === undefined || incarnation === candidate.incarnation) return
  const restarted = candidate.incarnation !== undefined
  candidate.incarnation = incarnation
  if (!restarted) return
  Object.assign(candidate, { newAt: now, outcomes: 0, latencyMs: 0, errorShare: 0, ejectedUntil: -Infinity, ejections: 0, trust: 1 })
}

/** Smooths a latency; the longer nothing was heard, the more the newest weighs. */
export function noteLatency (candidate: Candidate, latencyMs: number, idleMs: number, fastestMs: number): void {
  const seen = Math.max(0.01, latencyMs)
  const weight = Math.max(smoothing, 1 / (candidate.outcomes + 1), 1 - Math.exp(-idleMs / candidate.patienceMs) - 0.5)
  candidate.latencyMs = candidate.latencyMs === 0
    ? seen
    : Math.exp(Math.log(candidate.latencyMs) * (1 - weight) + Math.log(seen) * weight)
  if (fastestMs === Infinity) return
  const slow = seen > fastestMs * slowRatio * 2
  if (!slow) candidate.patienceMs = Math.max(firstPatienceMs, candidate.patienceMs / 2)
  else if (idleMs > candidate.patienceMs / 4) candidate.patienceMs = Math.min(maxPatienceMs, candidate.patienceMs * 2)
}

/** Smooths errors, and ejects the target when it fails far more than the best one does. */
export function noteResult (candidate: Candidate, failed: boolean, leastErrors: number, now: number): void {
  candidate.errorShare += errorSmoothing * ((failed ? 1 : 0) - candidate.errorShare)
  candidate.outcomes++
  if (!failed) {
    if (candidate.errorShare < ejectionShare / 2) candidate.ejections = 0
    return
  }
  if (candidate.outcomes < ejectionOutcomes || now < candidate.ejectedUntil) return
  if (candidate.errorShare - leastErrors < ejectionShare) return
  candidate.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** candidate.ejections)
  candidate.ejections++
}

/** Whether enough answers were seen to compare the target's latency with others. */
export function isKnown (candidate: Candidate): boolean {
  return candidate.outcomes >= knownAnswers && candidate.latencyMs > 0
}
