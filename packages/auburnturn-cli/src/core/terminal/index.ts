/** What a command prints to, and the exit codes of the tool. */

/** Where a command writes; given, so that tests can read it. */
export interface Terminal {
  /** Results, on standard output. */
  readonly print: (text: string) => void
  /** Problems, on standard error. */
  readonly printError: (text: string) => void
}

/** The exit codes of every command; docs/OPERATORS.md documents them. */
export const exitCodes = {
  ok: 0,
  /** A node could not be reached, or its answer not be read. */
  failed: 1,
  /** A wrong flag or a document with errors. */
  invalid: 2,
  /** `call`: the request did not run. */
  notRun: 3,
  /** `call`: the request may have run. */
  mayHaveRun: 4,
  /** `status`: a node lags behind another, or is draining. */
  needsAttention: 5
} as const

/** The terminal of this process. */
export const processTerminal: Terminal = {
  print: text => { process.stdout.write(`${text}\n`) },
  printError: text => { process.stderr.write(`${text}\n`) }
}
