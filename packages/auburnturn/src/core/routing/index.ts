/** Choice of a target from local sight, load carried on replies, and age. */
export { Balancer } from './balancer.js'
export { chooseLeastInFlight, chooseRandom, chooseRoundRobin, chooseTwo } from './baselines.js'
export type { Candidate, Policy } from './types.js'
