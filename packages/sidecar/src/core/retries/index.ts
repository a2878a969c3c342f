/** How often requests may be sent once more. */
export { RetryWindow } from './retry-window.js'
export type { RetryBudget } from './retry-window.js'
