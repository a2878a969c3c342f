/** Requests under which targets crash: how a crash is told from other losses, which request it was, and how it may run later. */
export { decodeCrashDigest, decodeCrashNotice } from './codec.js'
export { suspectRetryAfterMs } from './constants.js'
export { CrashDetector } from './crash-detector.js'
export { CrashSync } from './crash-sync.js'
export { computeFingerprint } from './fingerprint.js'
export { Quarantine } from './quarantine.js'
export { findTrialTarget } from './trial-target.js'
export type { CrashDigest, CrashNotice, CrashRecord, DetectedCrash, RunningRequest, Treatment } from './types.js'
