import type { Random } from 'auburnturn/core/random'
import { coldStartSlowness, crossDomainCost, failureCost, loadCost, slowFactor, slownessCostShare, slowTargetCost, unresponsiveAfterMs, unresponsiveCost } from './constants.js'
import type { Candidate } from './types.js'

/** The inputs of a choice between targets. */
export interface TargetChoice {
  readonly candidates: readonly Candidate[]
  /** Failure domain of this node. */
  readonly failureDomain: string
  /** Ids of the targets that this request has already been sent to. */
  readonly tried: ReadonlySet<string>
  /** Expected work of the request at usual speed, in milliseconds. */
  readonly workMs: number
  readonly random: Random
}

/** Returns the target at which a request is expected to complete first, or undefined if no untried target is up. */
export function chooseTarget ({ candidates, failureDomain, tried, workMs, random }: TargetChoice): Candidate | undefined {
  let best: Candidate | undefined
  let lowestCost = Infinity
  for (const candidate of candidates) {
    if (candidate.state !== 'up' || tried.has(candidate.id)) continue
    // Random noise of 5% keeps nodes that received the same reports from all choosing the same target.
    const cost = estimateCost(candidate, failureDomain, workMs) * (0.95 + 0.1 * random.fraction())
    if (cost < lowestCost) {
      best = candidate
      lowestCost = cost
    }
  }
  return best
}

/** Returns the limited target that would be chosen but for its rate limit; undefined if the limits change nothing. */
export function findAvoidedTarget ({ candidates, failureDomain, tried, workMs }: TargetChoice, chosen: Candidate): Candidate | undefined {
  const chosenCost = estimateCost(chosen, failureDomain, workMs)
  const limited = candidates.filter(({ id, state, rateWaitMs }) => rateWaitMs > 0 && state === 'up' && !tried.has(id) && id !== chosen.id)
  return limited.find(candidate => estimateCost({ ...candidate, rateWaitMs: 0 }, failureDomain, workMs) < chosenCost)
}

/** Estimates the time to complete one more request at a target, in service times (`workMs`) of an idle target. */
export function estimateCost (candidate: Candidate, failureDomain: string, workMs: number): number {
  const slow = candidate.slowness >= slowFactor
  const slowdown = slow ? 1 + slowTargetCost + slownessCostShare * candidate.slowness : Math.max(candidate.slowness, candidate.cold ? coldStartSlowness : 1)
  const requestsAhead = candidate.running + candidate.waiting
  const limit = Math.max(1, candidate.limit)
  const serviceTimes = 1 + loadCost * Math.min(1, requestsAhead / limit)
  const queueTimes = Math.max(0, requestsAhead + 1 - limit) / limit
  const domainPenalty = candidate.failureDomain === failureDomain ? 0 : crossDomainCost
  const unresponsivePenalty = candidate.reportAgeMs > unresponsiveAfterMs ? unresponsiveCost : 0
  const rateTimes = candidate.rateWaitMs / Math.max(1, workMs)
  return slowdown * (serviceTimes + queueTimes) + rateTimes + domainPenalty + unresponsivePenalty + failureCost * candidate.failures
}
