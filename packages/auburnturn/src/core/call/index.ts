/** One call on its way from a caller to an upstream, and what became of an attempt at it. */
export { headerNames, headerPrefix } from './constants.js'
export type { Answer, Attempt, Body, BodyFault, Call, Load, Outcome, RawHeaders } from './types.js'
