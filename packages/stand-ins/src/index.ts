/** Small stand-ins for what the platform and its users run: only for trials, tests and benches. */
export { wellBehaved } from './behaviour.js'
export type { Behaviour } from './behaviour.js'
export { DaemonProcess } from './daemon-process.js'
export { deployments } from './deployments.js'
export type { Deployment } from './deployments.js'
export { Fleet } from './fleet.js'
export { PlatformService } from './platform-service.js'
export { UpstreamService } from './upstream-service.js'
