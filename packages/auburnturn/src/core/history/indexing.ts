import type { Execution, HistoryEvent, IndexedHistory, Sending } from './types.js'

/** Groups the events of each sending and of each execution. */
export function indexHistory (events: readonly HistoryEvent[]): IndexedHistory {
  const sendings = new Map<string, Sending>()
  const executions = new Map<string, Execution>()
  events.forEach((event, position) => {
    indexSending(event, position, sendings)
    indexExecution(event, position, executions)
  })
  return { events, sendings, executions }
}

function indexSending (event: HistoryEvent, position: number, sendings: Map<string, Sending>): void {
  if (event.kind === 'call-sent') {
    sendings.set(event.sending, { sent: event, position, endPosition: undefined, refusal: undefined, answers: [] })
    return
  }
  if (event.kind !== 'refused' && event.kind !== 'answer-ended') return
  const sending = sendings.get(event.sending)
  if (sending === undefined) return
  sending.endPosition ??= position
  if (event.kind === 'refused') sending.refusal = event
  else sending.answers.push(event)
}

function indexExecution (event: HistoryEvent, position: number, executions: Map<string, Execution>): void {
  if (event.kind === 'execution-started') {
    executions.set(event.execution, { started: event, position, endPosition: undefined, ended: undefined })
    return
  }
  if (event.kind !== 'execution-ended') return
  const execution = executions.get(event.execution)
  if (execution === undefined) return
  execution.ended = event
  execution.endPosition = position
}
