import type { Execution, Rule, Violation } from '../types.js'

/**
 * A non-idempotent call runs at most once for each sending, and at most once
 * for all its sendings when they carry a ticket.
 */
export const checkAtMostOnce: Rule = ({ executions, sendings }) => {
  const runs = new Map<string, Execution[]>()
  for (const execution of executions.values()) {
    const sending = sendings.get(execution.started.sending)
    if (sending === undefined || (sending.sent.idempotent && !sending.sent.ticketed)) continue
    const identity = sending.sent.ticketed ? `call ${sending.sent.call}` : `sending ${sending.sent.sending}`
    runs.set(identity, [...runs.get(identity) ?? [], execution])
  }
  return [...runs].flatMap(([identity, found]) => found.length > 1 ? [createViolation(identity, found)] : [])
}

function createViolation (identity: string, executions: readonly Execution[]): Violation {
  const where = executions.map(({ started }) => `${started.execution} at ${started.target}`).join(', ')
  return { rule: 'at-most-once', detail: `${identity} ran ${executions.length} times: ${where}` }
}
