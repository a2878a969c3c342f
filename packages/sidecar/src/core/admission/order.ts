import type { SlotRequest } from './types.js'

/** What the order depends on beside the requests themselves. */
export interface OrderingContext {
  /** Clock milliseconds. */
  readonly now: number
  /** How long work takes at the moment; 1 is as usual. */
  readonly slowness: number
  /** Mean work of the requests of this target, in milliseconds. */
  readonly meanWorkMs: number
}

/** A request this much shorter than the mean goes first among its equals. */
const shortWorkShare = 0.5

/** Work may take longer than expected by this factor and still end in time. */
const workMargin = 1.2

/**
 * Which of two waiting requests runs first; negative when it is `one`. The more urgent; then quick ones, which
 * cost the others little and mostly are calls that a running request waits for; then what can still be answered
 * in time; then what is due first.
 */
export function compareSlotRequests (one: SlotRequest, other: SlotRequest, moment: OrderingContext): number {
  if (one.priority !== other.priority) return one.priority - other.priority
  const quick = isShort(one, moment)
  if (quick !== isShort(other, moment)) return quick ? -1 : 1
  const timely = meetsObjective(one, moment)
  if (timely !== meetsObjective(other, moment)) return timely ? -1 : 1
  return one.objectiveAt - other.objectiveAt
}

/** Whether a request that starts now can be answered while its answer has its full worth. */
export function meetsObjective ({ objectiveAt: wantedBy, workMs }: SlotRequest, { now, slowness }: OrderingContext): boolean {
  return now + workMs * slowness * workMargin <= wantedBy
}

/** Whether a request is much shorter than the mean. */
export function isShort ({ workMs }: SlotRequest, { meanWorkMs }: OrderingContext): boolean {
  return workMs < meanWorkMs * shortWorkShare
}
