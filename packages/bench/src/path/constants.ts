/** Loopback address for upstreams and daemons; it is their own, so that no other process takes their ports. */
export const ip = '127.9.1.1'

/** Address on which the stand-in for the platform listens. */
export const platformIp = '127.0.0.1'

/** Calls per second on each variant during the comparison. */
export const ratePerVariant = 150

/** Size of a request body and of a response body, in bytes. */
export const bodyBytes = 200

/** Share of the measuring time for the comparison; the rest is for the saturated node. */
export const comparisonShare = 0.7

/** Number of concurrent calls that saturates one node. */
export const saturatingConcurrency = 64

/** Calls on each variant before the measurement. */
export const warmUpCalls = 2_000

/** Time at the measured rate before latencies are recorded, in seconds. */
export const warmUpSeconds = 2

/** Design target for the latency that one node adds at p99, in milliseconds. */
export const targetAddedMs = 0.67
