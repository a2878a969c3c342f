/** Keeps up with what the platform's store says. */
export { applyChanges } from './apply-changes.js'
export type { Beliefs } from './apply-changes.js'
export { CatchUp } from './catch-up.js'
export { catchUpDelayMs, farReadSpreadMs, readSpreadMs } from './constants.js'
export { Follower } from './follower.js'
export type { Change, SharedState, Source, SourceAnswer } from './types.js'
