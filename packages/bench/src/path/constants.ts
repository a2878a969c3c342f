/** Where upstreams and daemons listen: a loopback address of their own, so that nobody else takes their ports. */
export const ip = '127.9.1.1'

/** Where the platform's stand-in listens. */
export const platformIp = '127.0.0.1'

/** Calls a second on each way during the comparison. */
export const ratePerVariant = 150

/** Bytes of a request body and of an answer. */
export const bodyBytes = 200

/** Part of the bench's seconds that goes to the comparison; the rest goes to the saturated node. */
export const comparisonShare = 0.7

/** Calls in flight at once that saturate one node. */
export const saturatingConcurrency = 64

/** Calls on each way before anything is measured. */
export const warmUpCalls = 2_000

/** Calls at the measured rate before anything is recorded, in seconds. */
export const warmUpSeconds = 2

/** The target of the design: what one node may add for 99 calls in 100, in milliseconds. */
export const targetAddedMs = 0.67
