/** The target on this VM. */
export { OwnTarget } from './own-target.js'
export type { LoadMonitor } from './own-target.js'
export { SpeedEstimate } from './speed-estimate.js'
export { Prober } from './prober.js'
export { mayHaveRun, notRun } from './types.js'
export { WorkEstimate } from './work-estimate.js'
export type { Job, MayHaveRunCause, NotRunCause, Outcome } from './types.js'
