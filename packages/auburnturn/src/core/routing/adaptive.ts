import { estimateCalls, estimateLatency, isUsable, rampShare } from './candidate.js'
import { errorWeight, slowRatio, waitWeight } from './constants.js'
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
    fastestMs = Math.min(fastestMs, estimateLatency(candidate, now))
    leastErrors = Math.min(leastErrors, candidate.errorShare)
  }
  const everyone = usable * 2 < count
  const first = random.integerBelow(count)
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
  const errors = 1 + errorWeight * Math.max(0, candidate.errorShare - leastErrors)
  const slowness = Math.max(1, slownessOf(candidate, fastestMs, now))
  return (weighCalls(candidate, now) + 1) * errors * slowness * slowness
}

/** Calls expected at a target for its share; those beyond its slots weigh more, as they wait. */
function weighCalls (candidate: Candidate, now: number): number {
  const calls = estimateCalls(candidate, now)
  const waiting = Math.max(0, calls + 1 - (candidate.load?.limit ?? Infinity))
  return (calls + waitWeight * waiting) / rampShare(candidate, now)
}

/** Expected latency over the most that still counts as equal to the fastest. */
export function slownessOf (candidate: Candidate, fastestMs: number, now: number): number {
  return fastestMs > 0 && fastestMs < Infinity ? estimateLatency(candidate, now) / (fastestMs * slowRatio) : 0
}
