/** Keeps up with what the platform's store says. */
export { Follower } from './follower.js'
export type { Change, Source, SourceAnswer } from './types.js'
