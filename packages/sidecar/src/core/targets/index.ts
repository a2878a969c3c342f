/** The known targets, their reported state, and the choice of a target for each request. */
export { chooseTarget, estimateCost, findAvoidedTarget } from './choose-target.js'
export type { TargetChoice } from './choose-target.js'
export { slowFactor, unresponsiveAfterMs, usableSlotShare, widenAboveCost } from './constants.js'
export { Directory } from './directory.js'
export { FailureRate } from './failure-rate.js'
export { LocationIndex } from './location-index.js'
export { PeerSelection } from './peer-selection.js'
export type { Candidate, ListedTarget, TargetLocation, TargetLocations, TargetReport, TargetState } from './types.js'
