/** Slots of one target. */
export const slotsPerTarget = 20

/** Mean service time, in milliseconds. */
export const meanServiceMs = 10

/** Spread of the logarithm of service times; 99 in 100 are below 6.2 times the mean. */
export const serviceTimeSigma = 1

/** Work that 99 in 100 calls stay below, in milliseconds. */
export const longCallMs = 62

/** One way between a caller and a node, in milliseconds. */
export const callerOneWayMs = 8

/** One way between two failure domains, in milliseconds. */
export const crossDomainOneWayMs = 1

/** Failure domains of the fleet. */
export const failureDomainCount = 3

/** Longest that a caller waits, in milliseconds. */
export const callTimeoutMs = 1_000

/** Different callers. */
export const callerCount = 8

/** Part of each run that is not counted, in milliseconds. */
export const warmUpMs = 500

/** Counted part of each run, in milliseconds. */
export const measurementMs = 3_000

/** Bytes that one call and its answer take on the wire, with small bodies. */
export const callWireBytes = 1_200

/** Time until a request that crashes its upstream does so, in milliseconds. */
export const crashDelayMs = 1

/** Time until a crashed upstream is back, in milliseconds. */
export const crashOutageMs = 300

/** Pause after which a caller sends a request again that crashed its upstream, in milliseconds. */
export const crashResendIntervalMs = 200

/** Time until other nodes hear of a suspect, in milliseconds. */
export const noticeDelayMs = 50

/** The seed of every run. */
export const seed = 1
