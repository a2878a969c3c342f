import type { Execution, IndexedHistory, Rule, Violation } from '../types.js'

/** What runs when a target starts to shut down in good order ends whole, and so does its answer. */
export const checkDrainCutsNothing: Rule = history => {
  const violations: Violation[] = []
  history.events.forEach((event, position) => {
    if (event.kind !== 'shutdown-started') return
    for (const execution of history.executions.values()) {
      if (execution.started.target !== event.target || !isOpen(execution, position)) continue
      if (isCut(execution, history) && !isExcused(execution, history)) violations.push(describe(execution))
    }
  })
  return violations
}

function isOpen (execution: Execution, position: number): boolean {
  return execution.position < position && (execution.endedAt === undefined || execution.endedAt > position)
}

function isCut (execution: Execution, { sendings }: IndexedHistory): boolean {
  if (execution.ended?.how === 'cut') return true
  const sending = sendings.get(execution.started.sending)
  const isAnswerCut = sending?.answers.some(answer => answer.execution === execution.started.execution && !answer.whole) ?? false
  return execution.ended?.how === 'whole' && isAnswerCut
}

/** A failure of the target or of the path to it, a caller that left and an expired deadline cut by themselves. */
function isExcused (execution: Execution, { events, sendings }: IndexedHistory): boolean {
  const { started, ended } = execution
  const sent = sendings.get(started.sending)?.sent
  if (sent !== undefined && ended !== undefined && ended.at >= sent.at + sent.timeoutMs) return true
  return events.some(event =>
    (event.kind === 'target-failed' && event.target === started.target) ||
    (event.kind === 'caller-left' && event.sending === started.sending))
}

function describe ({ started }: Execution): Violation {
  return { rule: 'drain-cuts-nothing', detail: `${started.execution} for sending ${started.sending} was in flight at ${started.target} when it shut down and was cut` }
}
