/** Verdicts: what is known about whether a request ran. Every layer passes them on unchanged. */
export type { Done, MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from './types.js'
export { combineVerdicts, done, isRetryable, mayHaveRun, notRun, unreachable } from './verdict.js'
