/** Routes a call: runs it on the local target or sends it to another one, with retries, hedges and tickets. */
export { RetryBudget } from './retry-budget.js'
export { Router } from './router.js'
export type { RouterOptions } from './types.js'
