/** Rate limits that targets name in their answers: how many requests a second all nodes together may send. */
export { computeRateWaitMs } from './compute-rate-wait.js'
export { unlimited } from './constants.js'
export { EffectLog } from './effect-log.js'
export { MoveLog } from './move-log.js'
export { RateLimit } from './rate-limit.js'
export type { RateAllowance, RateLimitChange, RateLimitEffect } from './types.js'
