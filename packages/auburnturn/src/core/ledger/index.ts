/** At most once without shared state: tickets, and what became of each at the one target that may run it. */
export { Ledger } from './ledger.js'
export type { LedgerOptions } from './ledger.js'
export { AnswerRecorder, replayAnswer } from './answer-recorder.js'
export { formatTicket, parseTicket } from './ticket.js'
export type { TicketClaim, LedgerLimits, RedeemResult, RecordedAnswer, Ticket } from './types.js'
export { UsedSerials } from './used-serials.js'
