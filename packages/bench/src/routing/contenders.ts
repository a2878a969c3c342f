import { chooseAdaptive, chooseLeastInFlight, chooseRandom, createRoundRobin, choosePowerOfTwoChoices } from 'auburnturn'
import type { Contender } from './types.js'

/** Our policy, with local runs and probes. */
export const adaptive: Contender = { name: 'adaptive', createPolicy: () => chooseAdaptive, plain: false }

/** Two choices with our hedges: shows what hedges alone bring. Not among the baselines. */
export const hedgedTwoChoices: Contender = { name: 'two-choices, hedged', createPolicy: () => choosePowerOfTwoChoices, plain: true, hedge: true }

/** The policies it is compared with, behind the same admission and retry budget. */
export const baselines: readonly Contender[] = [
  { name: 'round-robin', createPolicy: createRoundRobin, plain: true },
  { name: 'random', createPolicy: () => chooseRandom, plain: true },
  { name: 'least-in-flight', createPolicy: () => chooseLeastInFlight, plain: true },
  { name: 'two-choices', createPolicy: () => choosePowerOfTwoChoices, plain: true }
]
