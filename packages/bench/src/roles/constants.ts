/** Number of calls that are timed for one figure. */
export const timedCalls = 50_000

/** Services in the directory; a router has a target chosen for each of them when its memory is measured. */
export const services = 400

/** Targets of each service. */
export const targetsPerService = 10

/** Calls in one queue when its memory is measured. */
export const waitingCalls = 5_000
