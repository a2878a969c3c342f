import type { Execution, Rule, Violation } from '../types.js'

/**
 * A non-idempotent call is executed at most once per sending. A call with a ticket is executed at most once
 * over all its sendings.
 */
export const checkAtMostOnce: Rule = ({ executions, sendings }) => {
  const groups = new Map<string, Execution[]>()
  for (const execution of executions.values()) {
    const sending = sendings.get(execution.started.sending)
    if (sending === undefined || (sending.sent.idempotent && !sending.sent.ticketed)) continue
    const identity = sending.sent.ticketed ? `call ${sending.sent.call}` : `sending ${sending.sent.sending}`
    groups.set(identity, [...groups.get(identity) ?? [], execution])
  }
  return [...groups].flatMap(([identity, group]) => group.length > 1 ? [createViolation(identity, group)] : [])
}

function createViolation (identity: string, executions: readonly Execution[]): Violation {
  const locations = executions.map(({ started }) => `${started.execution} at ${started.target}`).join(', ')
  return { rule: 'at-most-once', detail: `${identity} ran ${executions.length} times: ${locations}` }
}
