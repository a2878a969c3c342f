/** Requests and their outcomes, as all parts of a node see them, and their headers on the platform. */
export type { AnswerHead, NamedRateLimit, TargetLoad } from './answer-head.js'
export { describeEvidence, parseEvidence, formatEvidence, unsent } from './evidence.js'
export type { Evidence, Refusal } from './evidence.js'
export type { Job } from './job.js'
export { mayHaveRun, notRun, rejected } from './outcome.js'
export type { MayHaveRunCause, NotRunCause, Outcome } from './outcome.js'
export type { Protocol } from './protocol.js'
export type { RequestHead, TargetRequestHead } from './request-head.js'
