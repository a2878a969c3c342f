import type { AnswerEnded, Execution, IndexedHistory, Rule, Violation } from '../types.js'

/** What runs when a target starts to shut down in good order ends whole, and so does its answer. */
export const checkDrainCutsNothing: Rule = history => {
  const violations: Violation[] = []
  history.events.forEach((event, position) => {
    if (event.kind !== 'shutdown-started') return
    for (const execution of history.executions.values()) {
      if (execution.started.target !== event.target || !isRunningAt(execution, position)) continue
      if (isAborted(execution, history) && !hasOtherCause(execution, history)) violations.push(createViolation(execution))
    }
  })
  return violations
}

function isRunningAt (execution: Execution, position: number): boolean {
  return execution.position < position && (execution.endPosition === undefined || execution.endPosition > position)
}

function isAborted (execution: Execution, history: IndexedHistory): boolean {
  if (execution.ended?.how === 'cut') return true
  return execution.ended?.how === 'whole' && findAbortedAnswer(execution, history) !== undefined
}

function findAbortedAnswer ({ started }: Execution, { sendings }: IndexedHistory): AnswerEnded | undefined {
  return sendings.get(started.sending)?.answers.find(answer => answer.execution === started.execution && !answer.whole)
}

/** A failure of the target or of the path to it, a caller that left and an expired deadline cut by themselves. */
function hasOtherCause (execution: Execution, history: IndexedHistory): boolean {
  const { events, sendings } = history
  const { started, ended } = execution
  const sent = sendings.get(started.sending)?.sent
  // Work that ended whole in time may still have its answer cut at the deadline.
  const cutAt = ended?.how === 'whole' ? findAbortedAnswer(execution, history)?.at : ended?.at
  if (sent !== undefined && cutAt !== undefined && cutAt >= sent.at + sent.timeoutMs) return true
  return events.some(event =>
    (event.kind === 'target-failed' && event.target === started.target) ||
    (event.kind === 'caller-left' && event.sending === started.sending))
}

function createViolation ({ started }: Execution): Violation {
  return { rule: 'drain-cuts-nothing', detail: `${started.execution} for sending ${started.sending} was in flight at ${started.target} when it shut down and was cut` }
}
