/** Which targets there are, how they do, and which one a request goes to. */
export { chooseTarget, estimateCost } from './choose-target.js'
export { unresponsiveAfterMs, slowFactor, usableSlotShare, widenAboveCost } from './constants.js'
export { Directory } from './directory.js'
export { FailureRate } from './failure-rate.js'
export { LocationIndex } from './location-index.js'
export { PeerSelection } from './peer-selection.js'
export type { Candidate, ListedTarget, TargetLocation, TargetLocations, TargetReport, TargetState } from './types.js'
