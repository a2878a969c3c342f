import type { AnswerEnded, HistoryEvent, IndexedHistory, Rule, Sending, Violation } from '../types.js'

/**
 * An answer that a caller accepts as complete is the full answer of an execution of its own call, and the sending gets
 * no second answer or refusal.
 */
export const checkWholeAnswer: Rule = history => {
  const violations = history.events.filter(isAnswerHead).flatMap(head => checkOwner(head.sending, head.execution, history))
  for (const sending of history.sendings.values()) {
    const outcomes = sending.answers.filter(answer => answer.whole).length + (sending.refusal === undefined ? 0 : 1)
    if (outcomes > 1) violations.push(createViolation(`sending ${sending.sent.sending} was answered ${outcomes} times`))
    for (const answer of sending.answers) violations.push(...checkContent(sending, answer, history))
  }
  return violations
}

function isAnswerHead (event: HistoryEvent): event is Extract<HistoryEvent, { kind: 'answer-head' }> {
  return event.kind === 'answer-head'
}

function checkOwner (sendingName: string, executionName: string, { sendings, executions }: IndexedHistory): Violation[] {
  const sent = sendings.get(sendingName)?.sent
  const started = executions.get(executionName)?.started
  if (sent === undefined || started === undefined) return [createViolation(`sending ${sendingName} got an answer of no known execution: ${executionName}`)]
  const isOwn = sent.ticketed ? started.call === sent.call : started.sending === sent.sending
  return isOwn ? [] : [createViolation(`sending ${sendingName} got the answer of ${executionName}, which ran for sending ${started.sending}`)]
}

function checkContent (sending: Sending, answer: AnswerEnded, history: IndexedHistory): Violation[] {
  if (!answer.whole) return []
  const ended = history.executions.get(answer.execution)?.ended
  if (ended?.how === 'whole' && ended.content === answer.content) return checkOwner(sending.sent.sending, answer.execution, history)
  return [createViolation(`sending ${sending.sent.sending} took the answer of ${answer.execution} for whole, which ended ${ended?.how ?? 'not at all'} with other content or none`)]
}

function createViolation (detail: string): Violation {
  return { rule: 'whole-answer', detail }
}
