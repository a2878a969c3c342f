import { unlimited } from './constants.js'
import type { RateAllowance } from './types.js'

/** Milliseconds until the limit of a target lets one more request through; Infinity if it takes none. */
export function computeRateWaitMs ({ rateLimit, rateAllowance }: RateAllowance): number {
  if (rateLimit === unlimited || rateAllowance >= 1) return 0
  return rateLimit === 0 ? Infinity : (1 - rateAllowance) * 1_000 / rateLimit
}
