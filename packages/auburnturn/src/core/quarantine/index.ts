/** Detects requests that crash upstreams: suspects run alone, and are then either refused or cleared. */
export { computeFingerprint, hashRequest } from './fingerprint.js'
export { Quarantine } from './quarantine.js'
export type { Treatment } from './types.js'
