/** Runs calls on this VM's own upstream, subject to admission, quarantine and tickets. */
export { Target } from './target.js'
export type { TargetOptions, UpstreamRunner } from './target.js'
export type { TicketFetcher } from './ticketed-calls.js'
