import type { LeaveSeen, Rule } from '../types.js'

/** A target that is leaving receives no new work after the time that the profile allows. */
export const checkNoWorkAfterLeave: Rule = ({ events }) => {
  const leaves = new Map<string, LeaveSeen>()
  return events.flatMap(event => {
    if (event.kind === 'leave-seen' && !leaves.has(event.target)) leaves.set(event.target, event)
    if (event.kind !== 'work-sent') return []
    const leave = leaves.get(event.target)
    if (leave === undefined || event.at <= leave.at + leave.newWorkMs) return []
    return [{ rule: 'no-work-after-leave' as const, detail: `sending ${event.sending} was handed to ${event.target} ${event.at - leave.at} ms after its leave was seen` }]
  })
}
