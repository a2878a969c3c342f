/** The estimates that a router holds for one target: latency, errors, reported load, ejection and ramp. */
import type { Outcome } from '../call/types.js'
import type { Member } from '../membership/types.js'
import { averageSmoothing, closedStateMaxAgeMs, confidenceGain, ejectionExcessShare, firstEjectionMs, maxEjectionMs, maxTimeConstantMs, minEjectionOutcomes, minRampShare, minTimeConstantMs, persistentSlowRatio, priorAnswers, rampMs, reportDecayMs, reportLagMs, slowRatio } from './constants.js'
import type { Candidate, ServiceAverage } from './types.js'

/**
 * Creates a candidate without any estimates. `rampStartedAt` is the clock time at which the target appeared,
 * or `-Infinity` for a target that gets its full share immediately.
 */
export function createCandidate (member: Member, rampStartedAt: number, serviceAverage: ServiceAverage = { latencyMs: 0 }): Candidate {
  return {
    member,
    inFlight: 0,
    busyMs: 0,
    answers: 0,
    timeConstantMs: minTimeConstantMs,
    updatedAt: 0,
    lastSlowAt: -Infinity,
    serviceAverage,
    errorShare: 0,
    outcomeCount: 0,
    load: undefined,
    loadReceivedAt: 0,
    others: 0,
    reportConfidence: 1,
    incarnation: undefined,
    rampStartedAt,
    ejectedUntil: -Infinity,
    consecutiveEjections: 0
  }
}

/**
 * Calls expected at the target now: those of this router, and those of other routers according to the last report,
 * weighted by the age of that report and the confidence in reports.
 */
export function estimateCalls (candidate: Candidate, now: number): number {
  if (candidate.others === 0) return candidate.inFlight
  const weight = candidate.reportConfidence * Math.exp((candidate.loadReceivedAt - now) / reportDecayMs)
  return candidate.inFlight + candidate.others * weight
}

/**
 * Expected time to an answer in milliseconds, by Little's law: calls in flight divided by the rate of answers.
 * The estimate starts to rise as soon as answers are missing and falls as soon as they arrive again.
 */
export function estimateLatency (candidate: Candidate, now: number): number {
  const { timeConstantMs, inFlight, serviceAverage } = candidate
  const decay = Math.exp((candidate.updatedAt - now) / timeConstantMs)
  const busyMs = candidate.busyMs * decay + inFlight * timeConstantMs * (1 - decay)
  return (busyMs + priorAnswers * serviceAverage.latencyMs) / (candidate.answers * decay + priorAnswers)
}

/** Decays `busyMs` and `answers` to `now`. Call it before `inFlight` changes. */
export function updateAverages (candidate: Candidate, now: number): void {
  const { timeConstantMs, inFlight } = candidate
  const decay = Math.exp((candidate.updatedAt - now) / timeConstantMs)
  candidate.busyMs = candidate.busyMs * decay + inFlight * timeConstantMs * (1 - decay)
  candidate.answers *= decay
  candidate.updatedAt = now
}

/**
 * Whether the target is neither ejected nor reported as starting or draining.
 * Such a report is ignored once it is older than `closedStateMaxAgeMs`.
 */
export function isUsable (candidate: Candidate, now: number): boolean {
  if (now < candidate.ejectedUntil) return false
  const { load } = candidate
  return load === undefined || load.state === 'serving' || now - candidate.loadReceivedAt > closedStateMaxAgeMs
}

/** The share of its full load that a target may receive: rises to 1 over `rampMs` while the target is new. */
export function computeRampShare (candidate: Candidate, now: number): number {
  if (candidate.rampStartedAt === -Infinity) return 1
  return Math.min(1, Math.max(minRampShare, (now - candidate.rampStartedAt) / rampMs))
}

/**
 * Records a load that an answer or a probe carried. A report that shows fewer calls than this router alone has in flight
 * at the target is wrong, and confidence drops to 0, unless the newest call started too recently to be in the report.
 */
export function recordLoad (candidate: Candidate, load: Outcome['load'], now: number, lastStartAt: number): void {
  if (load === undefined) return
  const reported = load.running + load.queued
  const ownCallsReported = now - lastStartAt > reportLagMs
  if (ownCallsReported && reported < candidate.inFlight) candidate.reportConfidence = 0
  else candidate.reportConfidence = Math.min(1, candidate.reportConfidence + confidenceGain)
  candidate.others = Math.max(0, reported - candidate.inFlight)
  candidate.load = load
  candidate.loadReceivedAt = now
}

/** Discards all measurements and reports of a target. Calls in flight, incarnation and ramp stay. */
export function resetCandidate (candidate: Candidate): void {
  Object.assign(candidate, { busyMs: 0, answers: 0, timeConstantMs: minTimeConstantMs, lastSlowAt: -Infinity, errorShare: 0, outcomeCount: 0, load: undefined, others: 0, reportConfidence: 1, ejectedUntil: -Infinity, consecutiveEjections: 0 })
}

/** Resets the estimates and restarts the ramp when the target has a new incarnation. */
export function recordIncarnation (candidate: Candidate, incarnation: string | undefined, now: number): void {
  if (incarnation === undefined || incarnation === candidate.incarnation) return
  const restarted = candidate.incarnation !== undefined
  candidate.incarnation = incarnation
  if (!restarted) return
  resetCandidate(candidate)
  candidate.rampStartedAt = now
}

/** Counts an answer that took `latencyMs` and adds it to the average of the service. */
export function recordAnswer (candidate: Candidate, latencyMs: number): void {
  const { serviceAverage } = candidate
  candidate.answers++
  serviceAverage.latencyMs = serviceAverage.latencyMs === 0 ? latencyMs : serviceAverage.latencyMs + averageSmoothing * (latencyMs - serviceAverage.latencyMs)
}

/**
 * Doubles the time constant of a target that stays slow, at most once per time constant, and halves that of one that
 * is fast again. `ratio` is the latency of the target relative to the fastest.
 */
export function adaptTimeConstant (candidate: Candidate, ratio: number, now: number): void {
  if (ratio >= persistentSlowRatio) {
    if (now - candidate.lastSlowAt < candidate.timeConstantMs) return
    candidate.lastSlowAt = now
    setTimeConstant(candidate, Math.min(maxTimeConstantMs, candidate.timeConstantMs * 2))
  } else if (ratio < slowRatio && candidate.timeConstantMs > minTimeConstantMs) {
    setTimeConstant(candidate, Math.max(minTimeConstantMs, candidate.timeConstantMs / 2))
  }
}

/** Changes the time constant and scales `busyMs` and `answers` with it, which keeps their ratio, the latency. */
function setTimeConstant (candidate: Candidate, timeConstantMs: number): void {
  const scale = timeConstantMs / candidate.timeConstantMs
  candidate.timeConstantMs = timeConstantMs
  candidate.busyMs *= scale
  candidate.answers *= scale
}

/**
 * Adds a result to the smoothed share of errors with the given weight. Ejects the target when its share of errors
 * exceeds `lowestErrorShare`, that of the best target, by `ejectionExcessShare` or more.
 */
export function recordResult (candidate: Candidate, failed: boolean, weight: number, lowestErrorShare: number, now: number): void {
  candidate.errorShare += weight * ((failed ? 1 : 0) - candidate.errorShare)
  candidate.outcomeCount++
  if (!failed) {
    if (candidate.errorShare < ejectionExcessShare / 2) candidate.consecutiveEjections = 0
    return
  }
  if (candidate.outcomeCount < minEjectionOutcomes || now < candidate.ejectedUntil) return
  if (candidate.errorShare - lowestErrorShare < ejectionExcessShare) return
  candidate.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** candidate.consecutiveEjections)
  candidate.consecutiveEjections++
}
