/** Calls timed for one figure. */
export const timedCalls = 50_000

/** Services that a router has chosen targets for, when its memory is measured. */
export const services = 400

/** Targets of each of them. */
export const targetsPerService = 10

/** Calls that wait in one queue, when its memory is measured. */
export const waitingCalls = 5_000
