/**
 * How long one watch is held, in milliseconds. A connection that no longer delivers anything is detected after this
 * time, and a change made after that happened to all of them must still become active within the bounds of the platform.
 */
export const watchMs = 3_500

/** How long a watch is held that only checks whether the store answers, in milliseconds. */
export const probeWatchMs = 1

/** Mean pause before the next watch, in milliseconds, so that changes in quick succession arrive in one call. */
export const batchDelayMs = 900

/**
 * Interval at which a node lists the store again while it receives notices from too few readers and other nodes can't
 * have discovered it yet, in milliseconds. A 'cheap' list costs a tenth of a watch.
 */
export const relistIntervalMs = 700

/** Base of the exponential backoff after failed calls, in milliseconds. */
export const baseBackoffMs = 100

/** Longest backoff after failed calls, in milliseconds. */
export const maxBackoffMs = 800

/** How long a reader waits for its own watch to deliver what another node already has, in milliseconds. */
export const watchDeliveryMs = 800

/** How long missed changes may still arrive before they are requested, in milliseconds. */
export const gapDelayMs = 150

/** The same for changes that a reader of another failure domain announced. */
export const crossDomainGapDelayMs = 600

/** How often a node that is not a reader checks whether it has to become one, in milliseconds. */
export const electionIntervalMs = 150

/** Nodes request a new configuration at a random time within this one, in milliseconds, so that requests are spread. */
export const fetchJitterMs = 60

/**
 * The same if only nodes of other failure domains have the configuration, in milliseconds: the first node that
 * fetches it announces it to the nodes of its own failure domain, which then request it from that node.
 */
export const crossDomainFetchJitterMs = 600
