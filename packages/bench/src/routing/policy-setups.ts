import { chooseAdaptive, chooseLeastInFlight, chooseRandom, chooseRoundRobin, chooseTwo } from 'auburnturn'
import type { PolicySetup } from './types.js'

/** Our policy, with local runs and probes. */
export const adaptiveSetup: PolicySetup = { name: 'adaptive', createPolicy: () => chooseAdaptive, policyOnly: false }

/** Two choices with our hedges: shows what hedges alone bring. Not among the baselines. */
export const hedgedTwoChoicesSetup: PolicySetup = { name: 'two-choices, hedged', createPolicy: () => chooseTwo, policyOnly: true, hedge: true }

/** The policies it is compared with, behind the same admission and retry budget. */
export const baselineSetups: readonly PolicySetup[] = [
  { name: 'round-robin', createPolicy: chooseRoundRobin, policyOnly: true },
  { name: 'random', createPolicy: () => chooseRandom, policyOnly: true },
  { name: 'least-in-flight', createPolicy: () => chooseLeastInFlight, policyOnly: true },
  { name: 'two-choices', createPolicy: () => chooseTwo, policyOnly: true }
]
