/** Slots of one target. */
export const slots = 20

/** Mean service time, in milliseconds. */
export const meanMs = 10

/** Spread of the logarithm of service times; 99 in 100 are below 6.2 times the mean. */
export const sigma = 1

/** Work that 99 in 100 calls stay below, in milliseconds. */
export const longMs = 62

/** One way between a caller and a node, in milliseconds. */
export const callerMs = 8

/** One way between two failure domains, in milliseconds. */
export const domainMs = 1

/** Failure domains of the fleet. */
export const domains = 3

/** Longest that a caller waits, in milliseconds. */
export const callMs = 1_000

/** Different callers. */
export const callers = 8

/** Part of each run that is not counted, in milliseconds. */
export const warmUpMs = 500

/** Counted part of each run, in milliseconds. */
export const measuredMs = 3_000

/** Bytes that one call and its answer take on the wire, with small bodies. */
export const callBytes = 1_200

/** Time until a request that crashes its upstream does so, in milliseconds. */
export const crashMs = 1

/** Time until a crashed upstream is back, in milliseconds. */
export const downMs = 300

/** Pause after which a caller sends a request again that crashed its upstream, in milliseconds. */
export const resendMs = 200

/** Time until other nodes hear of a suspect, in milliseconds. */
export const relayMs = 50

/** The seed of every run. */
export const seed = 1
