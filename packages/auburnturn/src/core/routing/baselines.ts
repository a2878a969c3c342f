/** Common load balancing policies that the benchmarks compare with `chooseAdaptive`. */
import type { Random } from '../random/index.js'
import type { Candidate, Policy } from './types.js'

/** Chooses a candidate uniformly at random. */
export const chooseRandom: Policy = (candidates, random) => pickRandom(candidates, random)

/** Chooses the candidate with the fewest calls of this router in flight; ties are broken at random. */
export const chooseLeastInFlight: Policy = (candidates, random) => {
  const fewest = Math.min(...candidates.map(candidate => candidate.inFlight))
  return pickRandom(candidates.filter(candidate => candidate.inFlight === fewest), random)
}

/** Draws two random candidates and chooses the one with fewer calls of this router in flight. */
export const choosePowerOfTwoChoices: Policy = (candidates, random) => {
  const one = pickRandom(candidates, random)
  const other = pickRandom(candidates, random)
  return other.inFlight < one.inFlight ? other : one
}

/** Creates a policy that cycles through the candidates. */
export function createRoundRobin (): Policy {
  let next = 0
  return candidates => candidates[next++ % candidates.length] as Candidate
}

function pickRandom (candidates: readonly Candidate[], random: Random): Candidate {
  return candidates[random.integerBelow(candidates.length)] as Candidate
}
