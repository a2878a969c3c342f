/** The default policy: weighs expected calls, latency, errors and the ramp of new targets. */
import { computeRampShare, estimateCalls, estimateLatency, isUsable } from './candidate.js'
import { errorWeight, queuedCallWeight, slowRatio } from './constants.js'
import type { Candidate, Policy } from './types.js'

/**
 * Chooses the target with the lowest cost. The cost grows with the calls expected at the target, with its latency
 * relative to the fastest target, with its errors in excess of the target with the fewest, and while the target is new.
 * If less than half of the candidates are usable, unusable ones are considered too.
 * Makes two passes over the candidates and allocates nothing.
 */
export const chooseAdaptive: Policy = (candidates, random, now) => {
  const count = candidates.length
  let fastestMs = Infinity
  let lowestErrorShare = 1
  let usable = 0
  for (const candidate of candidates) {
    if (!isUsable(candidate, now)) continue
    usable++
    fastestMs = Math.min(fastestMs, estimateLatency(candidate, now))
    lowestErrorShare = Math.min(lowestErrorShare, candidate.errorShare)
  }
  const includeUnusable = usable * 2 < count
  const first = random.integerBelow(count)
  let best = candidates[first] as Candidate
  let lowestCost = Infinity
  for (let offset = 0; offset < count; offset++) {
    const candidate = candidates[(first + offset) % count] as Candidate
    if (!includeUnusable && !isUsable(candidate, now)) continue
    const cost = computeCost(candidate, fastestMs, lowestErrorShare, now)
    if (cost >= lowestCost) continue
    best = candidate
    lowestCost = cost
  }
  return best
}

function computeCost (candidate: Candidate, fastestMs: number, lowestErrorShare: number, now: number): number {
  const errors = 1 + errorWeight * Math.max(0, candidate.errorShare - lowestErrorShare)
  const slowness = Math.max(1, computeSlowness(candidate, fastestMs, now))
  return (computeWeightedCalls(candidate, now) + 1) * errors * slowness * slowness
}

/** Calls expected at a target, divided by its ramp share. Calls beyond its slots weigh more, because they must queue. */
function computeWeightedCalls (candidate: Candidate, now: number): number {
  const calls = estimateCalls(candidate, now)
  const queued = Math.max(0, calls + 1 - (candidate.load?.limit ?? Infinity))
  return (calls + queuedCallWeight * queued) / computeRampShare(candidate, now)
}

/**
 * Expected latency of a target divided by the highest latency that still counts as equal to the fastest
 * (`slowRatio` times the fastest). Above 1 the target is slow; 0 while the fastest latency is unknown.
 */
export function computeSlowness (candidate: Candidate, fastestMs: number, now: number): number {
  return fastestMs > 0 && fastestMs < Infinity ? estimateLatency(candidate, now) / (fastestMs * slowRatio) : 0
}
