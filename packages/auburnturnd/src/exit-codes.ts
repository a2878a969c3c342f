/** Exit codes of the daemon; docs/OPERATORS.md documents them. */
export const exitCodes = {
  ok: 0,
  /** An address could not be bound, a second signal arrived, or an unexpected error occurred. */
  failed: 1,
  /** An invalid flag, or settings with errors. */
  invalid: 2
} as const
