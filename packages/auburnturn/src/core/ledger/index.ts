/**
 * At-most-once execution without shared state: each ticket names the one target that may run its call, and that target
 * records the outcome.
 */
export { Ledger } from './ledger.js'
export type { LedgerOptions } from './ledger.js'
export { AnswerRecorder, replayAnswer } from './answer-recorder.js'
export { formatTicket, parseTicket } from './ticket.js'
export type { LedgerLimits, RecordedAnswer, RedeemResult, Ticket, TicketClaim } from './types.js'
export { UsedSerials } from './used-serials.js'
