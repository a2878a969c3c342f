import { maxConfigurationDelayMs } from '../constants.js'
import type { ConfigurationAccepted, HistoryEvent, Rule, Violation } from '../types.js'

/** The active version of an entry never decreases, and an accepted version becomes active on every node in time. */
export const checkConfigurationForward: Rule = ({ events }) => [...findRollbacks(events), ...findDelays(events)]

function findRollbacks (events: readonly HistoryEvent[]): Violation[] {
  const newest = new Map<string, number>()
  return events.flatMap(event => {
    if (event.kind !== 'configuration-in-force') return []
    const entryOnNode = `${event.key} on ${event.node}`
    const before = newest.get(entryOnNode) ?? event.version
    newest.set(entryOnNode, Math.max(before, event.version))
    return event.version < before ? [createViolation(`${entryOnNode} went back from version ${before} to ${event.version}`)] : []
  })
}

function findDelays (events: readonly HistoryEvent[]): Violation[] {
  const end = events.at(-1)?.at ?? 0
  return events.flatMap(event => {
    if (event.kind !== 'configuration-accepted' || end <= event.at + maxConfigurationDelayMs) return []
    return event.nodes.filter(node => !isActiveInTime(events, event, node))
      .map(node => createViolation(`${event.key} version ${event.version} was not in force on ${node} within ${maxConfigurationDelayMs} ms`))
  })
}

function isActiveInTime (events: readonly HistoryEvent[], accepted: ConfigurationAccepted, node: string): boolean {
  return events.some(event => event.kind === 'configuration-in-force' && event.node === node && event.key === accepted.key &&
    event.version >= accepted.version && event.at <= accepted.at + maxConfigurationDelayMs)
}

function createViolation (detail: string): Violation {
  return { rule: 'configuration-forward', detail }
}
