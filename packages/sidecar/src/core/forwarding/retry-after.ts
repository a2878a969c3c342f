/** Formats a Retry-After value in seconds, with two decimal places. */
export function formatRetryAfter (milliseconds: number): string {
  return (Math.max(0, milliseconds) / 1_000).toFixed(2)
}
