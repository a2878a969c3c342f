import type { Outcome } from '../call/types.js'
import type { Member } from '../membership/types.js'
import { closedStateMaxAgeMs, persistentSlowRatio, minEjectionOutcomes, ejectionExcessShare, firstEjectionMs, minTimeConstantMs, maxEjectionMs, maxTimeConstantMs, priorAnswers, minRampShare, rampMs, reportLagMs, reportDecayMs, slowRatio, confidenceGain, averageSmoothing } from './constants.js'
import type { Candidate, ServiceAverage } from './types.js'

/** A target of which nothing is known; `newAt` is when it appeared, `-Infinity` for one that was always there. */
export function createCandidate (member: Member, newAt: number, usual: ServiceAverage = { latencyMs: 0 }): Candidate {
  return {
    member,
    inFlight: 0,
    busyMs: 0,
    answers: 0,
    timeConstantMs: minTimeConstantMs,
    updatedAt: 0,
    lastSlowAt: -Infinity,
    serviceAverage: usual,
    errorShare: 0,
    outcomeCount: 0,
    load: undefined,
    loadReceivedAt: 0,
    others: 0,
    reportConfidence: 1,
    incarnation: undefined,
    rampStartedAt: newAt,
    ejectedUntil: -Infinity,
    consecutiveEjections: 0
  }
}

/** Calls expected at the target now: this router's own, and those of others as far as the report still weighs. */
export function estimateCalls (candidate: Candidate, now: number): number {
  if (candidate.others === 0) return candidate.inFlight
  const weight = candidate.reportConfidence * Math.exp((candidate.loadReceivedAt - now) / reportDecayMs)
  return candidate.inFlight + candidate.others * weight
}

/**
 * Expected time to an answer, in milliseconds: by Little's law, calls in flight over the rate of answers.
 * It rises as soon as answers stay away and falls as soon as they come again.
 */
export function estimateLatency (candidate: Candidate, now: number): number {
  const { timeConstantMs: memoryMs, inFlight, serviceAverage: usual } = candidate
  const fading = Math.exp((candidate.updatedAt - now) / memoryMs)
  const busyMs = candidate.busyMs * fading + inFlight * memoryMs * (1 - fading)
  return (busyMs + priorAnswers * usual.latencyMs) / (candidate.answers * fading + priorAnswers)
}

/** Brings `busyMs` and `answers` up to `now`; to be called before `inFlight` changes. */
export function updateAverages (candidate: Candidate, now: number): void {
  const { timeConstantMs: memoryMs, inFlight } = candidate
  const fading = Math.exp((candidate.updatedAt - now) / memoryMs)
  candidate.busyMs = candidate.busyMs * fading + inFlight * memoryMs * (1 - fading)
  candidate.answers *= fading
  candidate.updatedAt = now
}

/** Whether the target may take calls as far as its state and its errors tell. */
export function isUsable (candidate: Candidate, now: number): boolean {
  if (now < candidate.ejectedUntil) return false
  const { load } = candidate
  return load === undefined || load.state === 'serving' || now - candidate.loadReceivedAt > closedStateMaxAgeMs
}

/** The share of its full load that a target may take while it is new. */
export function computeRampShare (candidate: Candidate, now: number): number {
  if (candidate.rampStartedAt === -Infinity) return 1
  return Math.min(1, Math.max(minRampShare, (now - candidate.rampStartedAt) / rampMs))
}

/** Takes in a load that a reply or a probe carried; reports can't deny calls of our own. */
export function recordLoad (candidate: Candidate, load: Outcome['load'], now: number, lastStartAt: number): void {
  if (load === undefined) return
  const shown = load.running + load.queued
  const settled = now - lastStartAt > reportLagMs
  if (settled && shown < candidate.inFlight) candidate.reportConfidence = 0
  else candidate.reportConfidence = Math.min(1, candidate.reportConfidence + confidenceGain)
  candidate.others = Math.max(0, shown - candidate.inFlight)
  candidate.load = load
  candidate.loadReceivedAt = now
}

/** Forgets what was seen and reported of a target. */
export function resetCandidate (candidate: Candidate): void {
  Object.assign(candidate, { busyMs: 0, answers: 0, timeConstantMs: minTimeConstantMs, lastSlowAt: -Infinity, errorShare: 0, outcomeCount: 0, load: undefined, others: 0, reportConfidence: 1, ejectedUntil: -Infinity, consecutiveEjections: 0 })
}

/** Starts the ramp again when another incarnation answers. */
export function recordIncarnation (candidate: Candidate, incarnation: string | undefined, now: number): void {
  if (incarnation === undefined || incarnation === candidate.incarnation) return
  const restarted = candidate.incarnation !== undefined
  candidate.incarnation = incarnation
  if (!restarted) return
  resetCandidate(candidate)
  candidate.rampStartedAt = now
}

/** Counts an answer that took `latencyMs`. */
export function recordAnswer (candidate: Candidate, latencyMs: number): void {
  const { serviceAverage: usual } = candidate
  candidate.answers++
  usual.latencyMs = usual.latencyMs === 0 ? latencyMs : usual.latencyMs + averageSmoothing * (latencyMs - usual.latencyMs)
}

/** Lengthens the memory of a target that stays slow, and shortens that of one that answers in time. */
export function adaptTimeConstant (candidate: Candidate, ratio: number, now: number): void {
  if (ratio >= persistentSlowRatio) {
    if (now - candidate.lastSlowAt < candidate.timeConstantMs) return
    candidate.lastSlowAt = now
    setTimeConstant(candidate, Math.min(maxTimeConstantMs, candidate.timeConstantMs * 2))
  } else if (ratio < slowRatio && candidate.timeConstantMs > minTimeConstantMs) {
    setTimeConstant(candidate, Math.max(minTimeConstantMs, candidate.timeConstantMs / 2))
  }
}

/** Changes the memory and keeps the latency that follows from it. */
function setTimeConstant (candidate: Candidate, memoryMs: number): void {
  const scale = memoryMs / candidate.timeConstantMs
  candidate.timeConstantMs = memoryMs
  candidate.busyMs *= scale
  candidate.answers *= scale
}

/** Smooths errors with the given weight of the newest, and ejects the target when it fails far more than the best one does. */
export function recordResult (candidate: Candidate, failed: boolean, weight: number, leastErrors: number, now: number): void {
  candidate.errorShare += weight * ((failed ? 1 : 0) - candidate.errorShare)
  candidate.outcomeCount++
  if (!failed) {
    if (candidate.errorShare < ejectionExcessShare / 2) candidate.consecutiveEjections = 0
    return
  }
  if (candidate.outcomeCount < minEjectionOutcomes || now < candidate.ejectedUntil) return
  if (candidate.errorShare - leastErrors < ejectionExcessShare) return
  candidate.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** candidate.consecutiveEjections)
  candidate.consecutiveEjections++
}
