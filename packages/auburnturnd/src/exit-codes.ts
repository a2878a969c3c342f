/** The exit codes of the daemon; docs/OPERATORS.md documents them. */
export const exitCodes = {
  ok: 0,
  /** An address could not be bound, a second signal came, or something unexpected failed. */
  failed: 1,
  /** A wrong flag, or settings with errors. */
  invalid: 2
} as const
