import { estimateCalls, estimateLatency, isKnown, isUsable, rampShare } from './candidate.js'
import { errorWeight, slowRatio } from './constants.js'
import type { Candidate, Policy } from './types.js'

/**
 * The target with the least cost: calls expected there, weighed by how much slower than the fastest
 * it answers, by errors in excess of the best, and by how new it is.
 * Reads every candidate twice and allocates nothing.
 */
export const chooseAdaptive: Policy = (candidates, random, now) => {
  const count = candidates.length
  let fastestMs = Infinity
  let leastErrors = 1
  let usable = 0
  for (const candidate of candidates) {
    if (!isUsable(candidate, now)) continue
    usable++
    if (isKnown(candidate) && candidate.latencyMs < fastestMs) fastestMs = candidate.latencyMs
    if (candidate.errorShare < leastErrors) leastErrors = candidate.errorShare
  }
  const everyone = usable * 2 < count
  const first = random.below(count)
  let best = candidates[first] as Candidate
  let leastCost = Infinity
  for (let offset = 0; offset < count; offset++) {
    const candidate = candidates[(first + offset) % count] as Candidate
    if (!everyone && !isUsable(candidate, now)) continue
    const cost = costOf(candidate, fastestMs, leastErrors, now)
    if (cost >= leastCost) continue
    best = candidate
    leastCost = cost
  }
  return best
}

function costOf (candidate: Candidate, fastestMs: number, leastErrors: number, now: number): number {
  const calls = (estimateCalls(candidate, now) + 1) / rampShare(candidate, now)
  const errors = 1 + errorWeight * Math.max(0, candidate.errorShare - leastErrors)
  return calls * errors * slownessOf(candidate, fastestMs, now)
}

/** 1 for a target about as fast as the fastest, more for slower ones; fades while nothing is heard. */
export function slownessOf (candidate: Candidate, fastestMs: number, now: number): number {
  if (!isKnown(candidate) || fastestMs === Infinity) return 1
  const ratio = estimateLatency(candidate, now) / (fastestMs * slowRatio)
  if (ratio <= 1) return 1
  if (candidate.inFlight > 0) return ratio * ratio
  const fading = Math.exp((candidate.heardAt - now) / candidate.patienceMs)
  return ratio ** (2 * fading)
}
