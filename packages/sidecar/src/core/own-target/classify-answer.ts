import type { Headers } from '../exchange/index.js'
import { mayHaveRun } from '../requests/index.js'
import type { AnswerHead, Outcome } from '../requests/index.js'

/** Statuses that claim that the request did not run. The claim is unproven unless `AnswerHead.notRun` is set. */
const notRunStatuses = new Set([408, 421, 429, 503])

/** Statuses with which a target refuses a request, always with the mark `AnswerHead.notRun`. */
const refusalStatuses = new Set([400, ...notRunStatuses])

/** A whole answer of the target to a request that it did not reject. */
export interface TargetAnswer {
  readonly status: number
  /** Headers for the caller. */
  readonly headers: Headers
  readonly body: Buffer
  /** Fields of the head as the target sent it. */
  readonly head: AnswerHead
}

/** Whether an answer proves that the target refused the request: status and mark have to agree. */
export function isRefusal (status: number, { notRun }: AnswerHead): boolean {
  return notRun && refusalStatuses.has(status)
}

/** Decides whether an answer may be passed on as that of the target. If not, the request may have run. */
export function classifyAnswer ({ status, headers, body, head }: TargetAnswer): Outcome {
  if (head.notRun) return mayHaveRun('unproven')
  if (head.encoded || (status < 300 && !head.sealed)) return mayHaveRun('invalid')
  if (notRunStatuses.has(status)) return mayHaveRun('unproven')
  return { kind: 'answer', status, headers, body }
}

/** Whether an outcome counts as a failure of the target. */
export function isTargetFailure (outcome: Outcome): boolean {
  switch (outcome.kind) {
    case 'answer': return outcome.status >= 500
    case 'not-run': return outcome.cause === 'rejected'
    case 'may-have-run': return outcome.cause !== 'left'
  }
}
