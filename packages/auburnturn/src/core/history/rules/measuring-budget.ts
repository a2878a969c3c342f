import { measuringBurstMs } from '../constants.js'
import type { MeasuringSpent, Rule } from '../types.js'

interface Allowance { messages: number, bytes: number, at: number }

/** No node exceeds its measuring budget: a token bucket per node whose capacity is the budget of one burst. */
export const checkMeasuringBudget: Rule = ({ events }) => {
  const allowances = new Map<string, Allowance>()
  return events.flatMap(event => {
    if (event.kind !== 'measuring-spent') return []
    const allowance = refill(allowances.get(event.node), event)
    allowance.messages -= event.messages
    allowance.bytes -= event.bytes
    allowances.set(event.node, allowance)
    if (allowance.messages >= 0 && allowance.bytes >= 0) return []
    return [{ rule: 'measuring-budget' as const, detail: `${event.node} spent ${-Math.min(allowance.messages, 0)} messages and ${-Math.min(allowance.bytes, 0)} bytes above its budget` }]
  })
}

function refill (before: Allowance | undefined, { at, budget }: MeasuringSpent): Allowance {
  const burstSeconds = measuringBurstMs / 1_000
  const full = { messages: budget.messagesPerSecond * burstSeconds, bytes: budget.bytesPerSecond * burstSeconds, at }
  if (before === undefined) return full
  const seconds = (at - before.at) / 1_000
  return {
    messages: Math.min(full.messages, before.messages + budget.messagesPerSecond * seconds),
    bytes: Math.min(full.bytes, before.bytes + budget.bytesPerSecond * seconds),
    at
  }
}
