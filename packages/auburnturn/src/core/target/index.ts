/** This VM's own upstream behind its admission. */
export { Target } from './target.js'
export type { UpstreamRunner, TargetOptions } from './target.js'
export type { TicketFetcher } from './ticketed-calls.js'
