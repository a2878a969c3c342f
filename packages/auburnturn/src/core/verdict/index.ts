/** What is known about whether a request ran. Every layer passes it on unchanged. */
export type { Done, MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from './types.js'
export { combineVerdicts, done, isRetryable, mayHaveRun, notRun, unreachable } from './verdict.js'
