/** Limits how often requests may be retried. */
export { RetryWindow } from './retry-window.js'
export type { RetryBudget } from './retry-window.js'
