/** Takes a call through its attempts: here, at another target, or refused. */
export { RetryBudget } from './retry-budget.js'
export { Router } from './router.js'
export type { RouterOptions } from './types.js'
