import type { AnswerEnded, Execution, IndexedHistory, Rule, Violation } from '../types.js'

/** An execution that is running when its target starts a graceful shutdown completes, and so does its answer. */
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

/**
 * Whether the execution or its answer was aborted for another reason than the shutdown: the target or the path to it
 * failed, the caller disconnected, or the deadline expired.
 */
function hasOtherCause (execution: Execution, history: IndexedHistory): boolean {
  const { events, sendings } = history
  const { started, ended } = execution
  const sent = sendings.get(started.sending)?.sent
  // An execution may complete before the deadline and its answer still be aborted at the deadline.
  const abortedAt = ended?.how === 'whole' ? findAbortedAnswer(execution, history)?.at : ended?.at
  if (sent !== undefined && abortedAt !== undefined && abortedAt >= sent.at + sent.timeoutMs) return true
  return events.some(event =>
    (event.kind === 'target-failed' && event.target === started.target) ||
    (event.kind === 'caller-left' && event.sending === started.sending))
}

function createViolation ({ started }: Execution): Violation {
  return { rule: 'drain-cuts-nothing', detail: `${started.execution} for sending ${started.sending} was in flight at ${started.target} when it shut down and was cut` }
}
