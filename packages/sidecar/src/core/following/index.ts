/** Keeps up with what the platform's store says. */
export { applyChanges } from './apply-changes.js'
export type { ApplyContext } from './apply-changes.js'
export { ConfigurationFetcher } from './configuration-fetcher.js'
export { watchDeliveryMs, farFetchJitterMs, fetchJitterMs } from './constants.js'
export { Follower } from './follower.js'
export type { Change, SharedState, StoreClient, StoreAnswer } from './types.js'
