/** A call from a caller to an upstream, its body and answer, and the outcome of an attempt at it. */
export { headerNames, headerPrefix } from './constants.js'
export type { Answer, Attempt, Body, BodyFault, Call, Load, Outcome, RawHeaders } from './types.js'
