import type { Random } from '../random/index.js'
import type { Candidate, Policy } from './types.js'

/** Uniform random choice. */
export const chooseRandom: Policy = (candidates, random) => pick(candidates, random)

/** The candidate with the fewest of this router's calls in flight; ties at random. */
export const chooseLeastInFlight: Policy = (candidates, random) => {
  const fewest = Math.min(...candidates.map(candidate => candidate.inFlight))
  return pick(candidates.filter(candidate => candidate.inFlight === fewest), random)
}

/** The less loaded of two random candidates. */
export const chooseTwo: Policy = (candidates, random) => {
  const one = pick(candidates, random)
  const other = pick(candidates, random)
  return other.inFlight < one.inFlight ? other : one
}

/** A policy that takes each candidate in turn. */
export function chooseRoundRobin (): Policy {
  let turn = 0
  return candidates => candidates[turn++ % candidates.length] as Candidate
}

function pick (candidates: readonly Candidate[], random: Random): Candidate {
  return candidates[random.integerBelow(candidates.length)] as Candidate
}
