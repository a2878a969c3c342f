/** Requests under which targets crash: how a crash is told from other losses, and which requests it was working on. */
export { CrashDetector } from './crash-detector.js'
export { computeFingerprint } from './fingerprint.js'
export type { DetectedCrash, RunningRequest } from './types.js'
