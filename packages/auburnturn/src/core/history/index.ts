/** Checks the recorded events of a run against the seven guarantees. */
export { checkHistory, historyRules } from './check.js'
export type { Execution, HistoryEvent, IndexedHistory, Rule, RuleName, Sending, Violation } from './types.js'
