/** Which targets there are, how they do, and which one a request goes to. */
export { chooseTarget, priceOf } from './choose.js'
export { silentAfterMs, slowFactor, usableShare, widenAbovePrice } from './constants.js'
export { Directory } from './directory.js'
export { FailureShare } from './failure-share.js'
export { PlaceIndex } from './place-index.js'
export { Selection } from './selection.js'
export type { Candidate, ListedTarget, Place, Places, TargetReport, TargetState } from './types.js'
