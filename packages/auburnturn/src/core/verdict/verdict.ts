import type { Done, MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from './types.js'

/** Creates the verdict that no part of the request ran. */
export function notRun (cause: NotRunCause): NotRun {
  return { kind: 'not-run', cause }
}

/** Creates the verdict that the request may have run, completely or in part. */
export function mayHaveRun (cause: MayHaveRunCause): MayHaveRun {
  return { kind: 'may-have-run', cause }
}

/** The verdict that the request ran and its complete answer arrived. */
export const done: Done = { kind: 'done' }

/** Whether another attempt is safe: always after `not-run`, only for idempotent requests after `may-have-run`. */
export function isRetryable (verdict: Verdict, idempotent: boolean): boolean {
  switch (verdict.kind) {
    case 'not-run': return true
    case 'may-have-run': return idempotent
    case 'done': return false
  }
}

/**
 * Combines the verdicts of two attempts at a call. Once an attempt may have run, only `done` settles the call;
 * a later `not-run` does not.
 */
export function combineVerdicts (earlier: Verdict, later: Verdict): Verdict {
  switch (later.kind) {
    case 'done':
    case 'may-have-run':
      return later
    case 'not-run':
      return earlier.kind === 'may-have-run' ? earlier : later
  }
}

/** Default case of a `switch` over a tagged union: it fails to compile while a case is missing. */
export function unreachable (value: never): never {
  throw new Error(`no case for ${JSON.stringify(value)}`)
}
