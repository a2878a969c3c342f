/** This VM's own upstream behind its admission. */
export { Target } from './target.js'
export type { Run, TargetOptions } from './target.js'
export type { FetchTicket } from './ticketed.js'
