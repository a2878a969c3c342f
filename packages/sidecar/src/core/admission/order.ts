import type { Applicant } from './types.js'

/**
 * Which of two waiting requests runs first; negative when it is `one`.
 * Calls of running requests come before all, since they hold a slot elsewhere; then what can still be answered
 * in time; then the more urgent; then what is due first.
 */
export function compareApplicants (one: Applicant, other: Applicant, now: number, slowness: number): number {
  if (one.nested !== other.nested) return one.nested ? -1 : 1
  const timely = isTimely(one, now, slowness)
  if (timely !== isTimely(other, now, slowness)) return timely ? -1 : 1
  return one.priority - other.priority || one.wantedBy - other.wantedBy
}

/** Whether a request that starts now can be answered while its answer has its full worth. */
export function isTimely ({ wantedBy, workMs }: Applicant, now: number, slowness: number): boolean {
  return now + workMs * slowness <= wantedBy
}
