import type { CallKind, CallerOutcome } from './caller.js'
import { faults, outlastsDeadline } from './faults.js'
import type { FaultName } from './faults.js'
import { steps } from './steps.js'
import type { StepName } from './steps.js'

/** One fault at one step. */
export interface Cell {
  readonly fault: FaultName
  readonly step: StepName
  /** Why the cell cannot exist. */
  readonly impossibleReason?: string
}

/** Cells that cannot exist, with the reason. */
const impossibleCells: ReadonlyArray<readonly [FaultName, StepName, string]> = [
  ['fail-fast', 'answer-head', 'a fast failure is the head of an answer, and this answer\'s head is already out'],
  ['fail-fast', 'answer-body', 'a fast failure is the head of an answer, and this answer\'s head is already out']
]

/** Every fault at every step, in the order of the lists. */
export function listCells (): Cell[] {
  return faults.flatMap(fault => steps.map(step => {
    const reason = impossibleCells.find(([otherFault, otherStep]) => otherFault === fault && otherStep === step)?.[2]
    return reason === undefined ? { fault, step } : { fault, step, impossible: reason }
  }))
}

const uninterruptedOutcomes: readonly CallerOutcome[] = ['answered']
const interruptedOutcomes: readonly CallerOutcome[] = ['answered', 'may-have-run', 'cut', 'lost']

/** What the caller of the struck call may be told, whatever the step. */
const allowedOutcomesByFault: Readonly<Record<FaultName, readonly CallerOutcome[]>> = {
  straggler: interruptedOutcomes,
  'fail-fast': uninterruptedOutcomes,
  crash: interruptedOutcomes,
  'drain-when-busy': uninterruptedOutcomes,
  'cold-start': interruptedOutcomes,
  'truncated-answer': interruptedOutcomes,
  'late-answer': interruptedOutcomes,
  'configuration-down': uninterruptedOutcomes,
  'configuration-stale': uninterruptedOutcomes,
  'configuration-rolled-back': uninterruptedOutcomes,
  'lagging-list': uninterruptedOutcomes,
  'wrong-list': uninterruptedOutcomes,
  pause: interruptedOutcomes,
  partition: interruptedOutcomes,
  'killing-request': interruptedOutcomes
}

/** What the caller may be told in this cell; anything else is a violation. */
export function getAllowedOutcomes ({ fault, step }: Cell, kind: CallKind): readonly CallerOutcome[] {
  const allowed = [...allowedOutcomesByFault[fault]]
  // The target that a ticket names is gone, and only it could know.
  if (kind === 'ticketed' && makesTicketTargetUnreachable(fault)) allowed.push('may-have-run')
  // The slots stay taken past the deadline of what waits for one.
  if (step === 'queued' && outlastsDeadline(fault)) allowed.push('not-run')
  // The only target that still took work is gone, or the list gives another's address for it.
  if (step === 'between-attempts' && makesOpenTargetUnavailable(fault)) allowed.push('not-run')
  // The draining target that a ticket names finds no other one before the short deadline: only it may run the call, and it has not.
  if (step === 'between-attempts' && outlastsDeadline(fault) && kind === 'ticketed') allowed.push('not-run')
  return allowed
}

function makesTicketTargetUnreachable (fault: FaultName): boolean {
  return fault === 'wrong-list' || fault === 'drain-when-busy' || fault === 'lagging-list'
}

function makesOpenTargetUnavailable (fault: FaultName): boolean {
  return fault === 'crash' || fault === 'drain-when-busy' || fault === 'lagging-list' || fault === 'cold-start' || fault === 'wrong-list'
}
