import type { Execution, IndexedHistory, Rule, Sending, Violation } from '../types.js'

/**
 * A "not run" refusal means that this sending is executed nowhere, neither before nor after the refusal. With a ticket it
 * also means that no sending of the call that ended before this one started was executed.
 */
export const checkTrueRefusal: Rule = history => {
  const violations: Violation[] = []
  for (const sending of history.sendings.values()) {
    if (sending.refusal?.verdict !== 'not-run') continue
    for (const execution of history.executions.values()) {
      if (contradicts(execution, sending, history)) violations.push(createViolation(sending, execution))
    }
  }
  return violations
}

function contradicts (execution: Execution, refused: Sending, { sendings }: IndexedHistory): boolean {
  const { started } = execution
  if (started.sending === refused.sent.sending) return true
  if (!refused.sent.ticketed || started.call !== refused.sent.call) return false
  const other = sendings.get(started.sending)
  return other?.endPosition !== undefined && other.endPosition < refused.position
}

function createViolation ({ sent, refusal }: Sending, { started }: Execution): Violation {
  return { rule: 'true-refusal', detail: `sending ${sent.sending} was refused as not run (${refusal?.cause ?? ''}), but ${started.execution} of sending ${started.sending} ran at ${started.target}` }
}
