import { indexHistory } from './indexing.js'
import { checkAtMostOnce } from './rules/at-most-once.js'
import { checkConfigurationForward } from './rules/configuration-forward.js'
import { checkDrainCutsNothing } from './rules/drain-cuts-nothing.js'
import { checkMeasuringBudget } from './rules/measuring-budget.js'
import { checkNoWorkAfterLeave } from './rules/no-work-after-leave.js'
import { checkTrueRefusal } from './rules/true-refusal.js'
import { checkWholeAnswer } from './rules/whole-answer.js'
import type { HistoryEvent, Rule, RuleName, Violation } from './types.js'

/** The rule that checks each of the seven guarantees. */
export const historyRules: Readonly<Record<RuleName, Rule>> = {
  'measuring-budget': checkMeasuringBudget,
  'whole-answer': checkWholeAnswer,
  'true-refusal': checkTrueRefusal,
  'at-most-once': checkAtMostOnce,
  'no-work-after-leave': checkNoWorkAfterLeave,
  'drain-cuts-nothing': checkDrainCutsNothing,
  'configuration-forward': checkConfigurationForward
}

/**
 * Checks a history against all rules. The events must be in the order in which a single observer recorded them.
 *
 * @example
 * const violations = checkHistory(events)
 * if (violations.length > 0) throw new Error(violations.map(({ rule, detail }) => `${rule}: ${detail}`).join('\n'))
 */
export function checkHistory (events: readonly HistoryEvent[]): Violation[] {
  const history = indexHistory(events)
  return Object.values(historyRules).flatMap(rule => rule(history))
}
