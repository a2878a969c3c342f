import { chooseAdaptive, chooseLeastInFlight, chooseRandom, createRoundRobin, choosePowerOfTwoChoices } from 'auburnturn'
import type { PolicySetup } from './types.js'

/** The adaptive policy of this project, with local runs and probes. */
export const adaptiveSetup: PolicySetup = { name: 'adaptive', createPolicy: () => chooseAdaptive, policyOnly: false }

/** Two choices with hedging, which shows the effect of hedging alone. It is not one of the baselines. */
export const hedgedTwoChoicesSetup: PolicySetup = { name: 'two-choices, hedged', createPolicy: () => choosePowerOfTwoChoices, policyOnly: true, hedge: true }

/** The policies that the adaptive one is compared with, under the same admission and retry budget. */
export const baselineSetups: readonly PolicySetup[] = [
  { name: 'round-robin', createPolicy: createRoundRobin, policyOnly: true },
  { name: 'random', createPolicy: () => chooseRandom, policyOnly: true },
  { name: 'least-in-flight', createPolicy: () => chooseLeastInFlight, policyOnly: true },
  { name: 'two-choices', createPolicy: () => choosePowerOfTwoChoices, policyOnly: true }
]
