/** Takes a call through its attempts: here, at another target, or refused. */
export { Router } from './router.js'
export type { RouterOptions } from './router.js'
