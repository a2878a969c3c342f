import type { Random } from 'auburnturn/core/random'
import { coldStartSlowness, crossDomainCost, failureCost, loadCost, unresponsiveAfterMs, unresponsiveCost, slowFactor, slowTargetCost, slownessCostShare } from './constants.js'
import type { Candidate } from './types.js'

/** What a choice is made with. */
export interface TargetChoice {
  readonly candidates: readonly Candidate[]
  /** Failure domain of the sender. */
  readonly failureDomain: string
  /** Ids of targets that were tried. */
  readonly tried: ReadonlySet<string>
  readonly random: Random
}

/** The target at which a request is expected to end first; undefined when none may take it. */
export function chooseTarget ({ candidates, failureDomain, tried, random }: TargetChoice): Candidate | undefined {
  let best: Candidate | undefined
  let bestPrice = Infinity
  for (const candidate of candidates) {
    if (candidate.state !== 'up' || tried.has(candidate.id)) continue
    // A little noise keeps senders with the same view from all choosing the same target.
    const price = estimateCost(candidate, failureDomain) * (0.95 + 0.1 * random.fraction())
    if (price < bestPrice) {
      best = candidate
      bestPrice = price
    }
  }
  return best
}

/** Expected time of one more request at a target, in service times of an idle target. */
export function estimateCost (candidate: Candidate, failureDomain: string): number {
  const slow = candidate.slowness >= slowFactor
  const speed = slow ? 1 + slowTargetCost + slownessCostShare * candidate.slowness : Math.max(candidate.slowness, candidate.cold ? coldStartSlowness : 1)
  const ahead = candidate.running + candidate.waiting
  const limit = Math.max(1, candidate.limit)
  const work = 1 + loadCost * Math.min(1, ahead / limit)
  const wait = Math.max(0, ahead + 1 - limit) / limit
  const far = candidate.failureDomain === failureDomain ? 0 : crossDomainCost
  const silent = candidate.reportAgeMs > unresponsiveAfterMs ? unresponsiveCost : 0
  return speed * (work + wait) + far + silent + failureCost * candidate.failures
}
