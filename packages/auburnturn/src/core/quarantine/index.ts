/** Requests that crash upstreams: found, run alone, refused, and cleared when they were only near. */
export { computeFingerprint } from './fingerprint.js'
export { Quarantine } from './quarantine.js'
export type { Treatment } from './types.js'
