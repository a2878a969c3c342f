/** Runs calls on the upstream of this VM, subject to admission, quarantine and tickets. */
export { Target } from './target.js'
export type { TargetOptions, UpstreamRunner } from './target.js'
export type { TicketFetcher } from './ticketed-calls.js'
