/** The active configuration: routes, services and limits. */
export { CurrentConfiguration } from './current.js'
export type { OfferResult } from './current.js'
export { RouteTable } from './route-table.js'
export type { Configuration, Limits, Route, RouteKind, Service, Share } from './types.js'
export { WeightedSplit } from './weighted-split.js'
