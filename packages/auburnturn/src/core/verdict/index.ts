/** Verdicts: what is known about whether a request ran. Every layer returns them unchanged. */
export type { Done, MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from './types.js'
export { combineVerdicts, done, isRetryable, mayHaveRun, notRun, unreachable } from './verdict.js'
