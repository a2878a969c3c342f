/** Slots of one target. */
export const slotsPerTarget = 20

/** Mean service time, in milliseconds. */
export const meanServiceMs = 10

/** Standard deviation of the logarithm of service times; 99 in 100 are below 6.2 times the mean. */
export const serviceTimeSigma = 1

/** 99th percentile of the service time, in milliseconds; calls with more work count as long. */
export const longCallMs = 62

/** One-way delay between a caller and a node, in milliseconds. */
export const callerOneWayMs = 8

/** One-way delay between two failure domains, in milliseconds. */
export const crossDomainOneWayMs = 1

/** Number of failure domains of the fleet. */
export const failureDomainCount = 3

/** Time after which a caller stops waiting for an answer, in milliseconds. */
export const callTimeoutMs = 1_000

/** Number of different callers. */
export const callerCount = 8

/** Duration of the warm-up at the start of each run, whose calls are not counted, in milliseconds. */
export const warmUpMs = 500

/** Duration of the measured part of each run, in milliseconds. */
export const measurementMs = 3_000

/** Bytes on the wire of one call and its answer, with small bodies. */
export const callWireBytes = 1_200

/** Time from the start of a crashing request to the crash of its upstream, in milliseconds. */
export const crashDelayMs = 1

/** Time for which a crashed upstream is unavailable, in milliseconds. */
export const crashOutageMs = 300

/** Interval at which a caller resends a request that crashes its upstream, in milliseconds. */
export const crashResendIntervalMs = 200

/** Delay until the other nodes receive a notice about a suspected request, in milliseconds. */
export const noticeDelayMs = 50

/** Seed of the random numbers of every run. */
export const seed = 1
