/** Small stand-ins for what the platform and its users run: only for trials, tests and benches. */
export { PlatformService } from './platform-service.js'
export { UpstreamService } from './upstream-service.js'
export { deployments } from './deployments.js'
export type { Deployment } from './deployments.js'
