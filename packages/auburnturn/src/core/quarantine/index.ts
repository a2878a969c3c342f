/** Detects requests that crash upstreams: suspects run alone, and are then either refused or cleared. */
export { chooseTreatment } from './choose-treatment.js'
export { computeFingerprint, hashRequest } from './fingerprint.js'
export { Quarantine } from './quarantine.js'
export type { Treatment } from './types.js'
