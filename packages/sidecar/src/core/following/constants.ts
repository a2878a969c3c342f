/**
 * How long one watch is held, in milliseconds: a connection that fell silent shows after this time, and what changed
 * after all of them had fallen silent has to be in force within the bounds of the platform.
 */
export const watchMs = 3_500

/** How long a watch is held whose answer only shows whether the store gives any, in milliseconds. */
export const probeWatchMs = 1

/** Pause before the next watch, in milliseconds, so that changes in quick succession come as one call. */
export const batchDelayMs = 900

/** How often a node that hears no readers, and that nobody knows of yet, lists anew, in milliseconds: a cheap list costs a tenth of a watch. */
export const relistIntervalMs = 700

/** Pause after the first failure, in milliseconds; it grows with each. */
export const baseBackoffMs = 100

/** Longest pause after failures, in milliseconds. */
export const maxBackoffMs = 800

/** How long the store has to bring what another node has already, in milliseconds. */
export const watchDeliveryMs = 800

/** How long changes that were missed may still come by themselves, in milliseconds. */
export const gapDelayMs = 150

/** The same where a reader of another failure domain told of them. */
export const farGapDelayMs = 600

/** How often a node that does not read looks whether it has to, in milliseconds. */
export const electionIntervalMs = 150

/** Nodes ask for a new configuration within this time, in milliseconds, so that they don't all come at once. */
export const fetchJitterMs = 60

/**
 * The same where only nodes of other failure domains have it, in milliseconds: the first one that asks tells it to
 * its neighbours, which then ask it.
 */
export const farFetchJitterMs = 600
