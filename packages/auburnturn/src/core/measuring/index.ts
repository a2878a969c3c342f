/** Load probes between nodes, limited by the measuring budget of the profile. */
export { MeasuringBudget } from './budget.js'
export { createProbe, createProbeRoutes } from './probe-rpc.js'
export { probeBytes } from './constants.js'
export { Prober } from './prober.js'
export type { MeasuringCost, MeasuringLimits, Probe, ProbeReport } from './types.js'
