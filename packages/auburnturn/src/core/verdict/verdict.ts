import type { Done, MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from './types.js'

/** The request certainly did not run. */
export function notRun (cause: NotRunCause): NotRun {
  return { kind: 'not-run', cause }
}

/** The request may have run, wholly or in part. */
export function mayHaveRun (cause: MayHaveRunCause): MayHaveRun {
  return { kind: 'may-have-run', cause }
}

/** The request ran and its whole answer is known. */
export const done: Done = { kind: 'done' }

/** Whether another attempt is safe: always after `not-run`, else only for idempotent requests. */
export function isRetryable (verdict: Verdict, idempotent: boolean): boolean {
  switch (verdict.kind) {
    case 'not-run': return true
    case 'may-have-run': return idempotent
    case 'done': return false
  }
}

/** What is known of a call after a later attempt at it: only an answer ends the doubt that an earlier one left. */
export function combineVerdicts (earlier: Verdict, later: Verdict): Verdict {
  switch (later.kind) {
    case 'done':
    case 'may-have-run':
      return later
    case 'not-run':
      return earlier.kind === 'may-have-run' ? earlier : later
  }
}

/** Ends a `switch` over a tagged union: the compiler refuses the call while a case is left out. */
export function unreachable (value: never): never {
  throw new Error(`no case for ${JSON.stringify(value)}`)
}
