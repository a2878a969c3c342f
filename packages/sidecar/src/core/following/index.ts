/** Keeps a node up to date with the platform's store, by its own calls or through other nodes. */
export { applyChanges } from './apply-changes.js'
export type { ApplyContext } from './apply-changes.js'
export { ConfigurationFetcher } from './configuration-fetcher.js'
export { watchDeliveryMs, crossDomainFetchJitterMs, fetchJitterMs } from './constants.js'
export { decodeSharedState } from './decode-shared-state.js'
export { Follower } from './follower.js'
export type { SharedState } from './types.js'
export { UnusableEntries } from './unusable-entries.js'
