/** Judges what was observed of a run by the seven promises. */
export { checkHistory, historyRules } from './check.js'
export type { Execution, HistoryEvent, IndexedHistory, Rule, RuleName, Sending, Violation } from './types.js'
