import type { CallKind, CallerOutcome } from './caller.js'
import { faults, outlastsDeadline } from './faults.js'
import type { FaultName } from './faults.js'
import { steps } from './steps.js'
import type { StepName } from './steps.js'

/** A cell of the fault matrix: one fault injected at one step of a call. */
export interface Cell {
  readonly fault: FaultName
  readonly step: StepName
  /** Why the fault cannot occur at this step; undefined for a cell that is run. */
  readonly impossibleReason?: string
}

/** Combinations of fault and step that cannot occur, with the reason. */
const impossibleCells: ReadonlyArray<readonly [FaultName, StepName, string]> = [
  ['fail-fast', 'answer-head', 'a fast failure is the head of an answer, and this answer\'s head is already out'],
  ['fail-fast', 'answer-body', 'a fast failure is the head of an answer, and this answer\'s head is already out']
]

/** Lists every fault at every step, in the order of `faults` and then of `steps`. */
export function listCells (): Cell[] {
  return faults.flatMap(fault => steps.map(step => {
    const reason = impossibleCells.find(([otherFault, otherStep]) => otherFault === fault && otherStep === step)?.[2]
    return reason === undefined ? { fault, step } : { fault, step, impossibleReason: reason }
  }))
}

const uninterruptedOutcomes: readonly CallerOutcome[] = ['answered']
const interruptedOutcomes: readonly CallerOutcome[] = ['answered', 'may-have-run', 'cut', 'lost']

/** Outcomes that the caller of the affected call may see, regardless of the step. */
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

/** Lists the outcomes that the caller may see in this cell; any other is a violation. */
export function getAllowedOutcomes ({ fault, step }: Cell, kind: CallKind): readonly CallerOutcome[] {
  const allowed = [...allowedOutcomesByFault[fault]]
  // The target named by the ticket is unavailable, and only that target has the record of whether the call ran.
  if (kind === 'ticketed' && makesTicketTargetUnreachable(fault)) allowed.push('may-have-run')
  // The slots stay occupied beyond the deadline of the queued calls.
  if (step === 'queued' && outlastsDeadline(fault)) allowed.push('not-run')
  // The only target that still accepted work is unavailable, or the member list has another target's address for it.
  if (step === 'between-attempts' && makesOpenTargetUnavailable(fault)) allowed.push('not-run')
  // The draining target named by the ticket finds no other target before the short deadline. Only it may run the call,
  // and it has not.
  if (step === 'between-attempts' && outlastsDeadline(fault) && kind === 'ticketed') allowed.push('not-run')
  return allowed
}

function makesTicketTargetUnreachable (fault: FaultName): boolean {
  return fault === 'wrong-list' || fault === 'drain-when-busy' || fault === 'lagging-list'
}

function makesOpenTargetUnavailable (fault: FaultName): boolean {
  return fault === 'crash' || fault === 'drain-when-busy' || fault === 'lagging-list' || fault === 'cold-start' || fault === 'wrong-list'
}
