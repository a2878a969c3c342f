/** The target on this VM: its requests, load and health checks. */
export { OwnTarget } from './own-target.js'
export type { LoadMonitor } from './own-target.js'
export { Prober } from './prober.js'
export { SpeedEstimate } from './speed-estimate.js'
export { WorkEstimate } from './work-estimate.js'
