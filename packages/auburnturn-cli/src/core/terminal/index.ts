/** Output streams and exit codes of the commands. */

/** Output of a command; passed in, so that tests can capture it. */
export interface Terminal {
  /** Writes a line of results to standard output. */
  readonly print: (text: string) => void
  /** Writes a line of problems to standard error. */
  readonly printError: (text: string) => void
}

/** Exit codes of the commands; docs/OPERATORS.md documents them. */
export const exitCodes = {
  ok: 0,
  /** A node could not be reached, or its response could not be read. */
  failed: 1,
  /** An invalid flag or a document with errors. */
  invalid: 2,
  /** `call`: the request did not run. */
  notRun: 3,
  /** `call`: the request may have run. */
  mayHaveRun: 4,
  /** `status`: a node has a concern; for example, its configuration is behind, or it is draining. */
  needsAttention: 5
} as const

/** Writes to the output streams of this process. */
export const processTerminal: Terminal = {
  print: text => { process.stdout.write(`${text}\n`) },
  printError: text => { process.stderr.write(`${text}\n`) }
}
