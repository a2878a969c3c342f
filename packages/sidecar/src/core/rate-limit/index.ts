/** Rate limits that targets name in their answers: how many requests a second all nodes together may send. */
export { RateLimit } from './rate-limit.js'
export type { RateLimitChange } from './rate-limit.js'
