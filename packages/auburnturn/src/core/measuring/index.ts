/** What is sent only to measure: probes of targets, held to the budget of the profile. */
export { MeasuringBudget } from './budget.js'
export { answerProbes, createProbe } from './connect.js'
export { probeBytes } from './constants.js'
export { Prober } from './prober.js'
export type { MeasuringCost, MeasuringLimits, Probe, ProbeReport } from './types.js'
