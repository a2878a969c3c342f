import type { SlotRequest } from './types.js'

/** State of the target on which the order of queued requests depends. */
export interface OrderingContext {
  /** Clock milliseconds. */
  readonly now: number
  /** Present duration of work relative to the usual one; 1 is as usual. */
  readonly slowness: number
  /** Mean `workMs` of the requests of this target. */
  readonly meanWorkMs: number
}

/** A request whose work is below this share of the mean is short, and runs first among those of its priority. */
const shortWorkShare = 0.5

/** Safety factor for the expected work in the decision whether a request can meet its objective. */
const workMargin = 1.2

/**
 * Compares two queued requests; negative when `one` runs first. The order is: the more urgent priority; then short requests,
 * since they delay the others little and are mostly calls that a running request waits for; then those that can
 * still meet their objective; then the earlier objective.
 */
export function compareSlotRequests (one: SlotRequest, other: SlotRequest, context: OrderingContext): number {
  if (one.priority !== other.priority) return one.priority - other.priority
  const short = isShort(one, context)
  if (short !== isShort(other, context)) return short ? -1 : 1
  const inTime = meetsObjective(one, context)
  if (inTime !== meetsObjective(other, context)) return inTime ? -1 : 1
  return one.objectiveAt - other.objectiveAt
}

/** Whether a request that starts now is expected to be answered within its objective. */
export function meetsObjective ({ objectiveAt, workMs }: SlotRequest, { now, slowness }: OrderingContext): boolean {
  return now + workMs * slowness * workMargin <= objectiveAt
}

/** Whether a request is much shorter than the mean. */
export function isShort ({ workMs }: SlotRequest, { meanWorkMs }: OrderingContext): boolean {
  return workMs < meanWorkMs * shortWorkShare
}
