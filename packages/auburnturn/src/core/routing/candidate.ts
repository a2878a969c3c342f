import type { Outcome } from '../call/types.js'
import type { Member } from '../membership/types.js'
import { closedLifeMs, confirmRatio, ejectionOutcomes, ejectionShare, firstEjectionMs, firstMemoryMs, maxEjectionMs, maxMemoryMs, priorAnswers, rampFloor, rampMs, reportLagMs, reportLifeMs, slowRatio, trustRegained, usualWeight } from './constants.js'
import type { Candidate, Usual } from './types.js'

/** A target of which nothing is known; `newAt` is when it appeared, `-Infinity` for one that was always there. */
export function createCandidate (member: Member, newAt: number, usual: Usual = { latencyMs: 0 }): Candidate {
  return {
    member,
    inFlight: 0,
    busyMs: 0,
    answers: 0,
    memoryMs: firstMemoryMs,
    notedAt: 0,
    slowAt: -Infinity,
    usual,
    errorShare: 0,
    outcomes: 0,
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

/**
 * Expected time to an answer, in milliseconds: by Little's law, calls in flight over the rate of answers.
 * It rises as soon as answers stay away and falls as soon as they come again.
 */
export function estimateLatency (candidate: Candidate, now: number): number {
  const { memoryMs, inFlight, usual } = candidate
  const fading = Math.exp((candidate.notedAt - now) / memoryMs)
  const busyMs = candidate.busyMs * fading + inFlight * memoryMs * (1 - fading)
  return (busyMs + priorAnswers * usual.latencyMs) / (candidate.answers * fading + priorAnswers)
}

/** Brings `busyMs` and `answers` up to `now`; to be called before `inFlight` changes. */
export function settle (candidate: Candidate, now: number): void {
  const { memoryMs, inFlight } = candidate
  const fading = Math.exp((candidate.notedAt - now) / memoryMs)
  candidate.busyMs = candidate.busyMs * fading + inFlight * memoryMs * (1 - fading)
  candidate.answers *= fading
  candidate.notedAt = now
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

/** Forgets what was seen and reported of a target. */
export function reset (candidate: Candidate): void {
  Object.assign(candidate, { busyMs: 0, answers: 0, memoryMs: firstMemoryMs, slowAt: -Infinity, errorShare: 0, outcomes: 0, load: undefined, others: 0, trust: 1, ejectedUntil: -Infinity, ejections: 0 })
}

/** Starts the ramp again when another incarnation answers. */
export function noteIncarnation (candidate: Candidate, incarnation: string | undefined, now: number): void {
  if (incarnation === undefined || incarnation === candidate.incarnation) return
  const restarted = candidate.incarnation !== undefined
  candidate.incarnation = incarnation
  if (!restarted) return
  reset(candidate)
  candidate.newAt = now
}

/** Counts an answer that took `latencyMs`. */
export function noteAnswer (candidate: Candidate, latencyMs: number): void {
  const { usual } = candidate
  candidate.answers++
  usual.latencyMs = usual.latencyMs === 0 ? latencyMs : usual.latencyMs + usualWeight * (latencyMs - usual.latencyMs)
}

/** Lengthens the memory of a target that stays slow, and shortens that of one that answers in time. */
export function noteSlowness (candidate: Candidate, ratio: number, now: number): void {
  if (ratio >= confirmRatio) {
    if (now - candidate.slowAt < candidate.memoryMs) return
    candidate.slowAt = now
    remember(candidate, Math.min(maxMemoryMs, candidate.memoryMs * 2))
  } else if (ratio < slowRatio && candidate.memoryMs > firstMemoryMs) {
    remember(candidate, Math.max(firstMemoryMs, candidate.memoryMs / 2))
  }
}

/** Changes the memory and keeps the latency that follows from it. */
function remember (candidate: Candidate, memoryMs: number): void {
  const scale = memoryMs / candidate.memoryMs
  candidate.memoryMs = memoryMs
  candidate.busyMs *= scale
  candidate.answers *= scale
}

/** Smooths errors with the given weight of the newest, and ejects the target when it fails far more than the best one does. */
export function noteResult (candidate: Candidate, failed: boolean, weight: number, leastErrors: number, now: number): void {
  candidate.errorShare += weight * ((failed ? 1 : 0) - candidate.errorShare)
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
