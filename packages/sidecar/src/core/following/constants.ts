/** Maximum duration of one watch, in milliseconds. */
export const watchMs = 3_500

/**
 * Interval at which a reader checks whether the store still answers it, in milliseconds. Even if the store has become silent
 * for all readers just before a change is made, another node must read it and the others must fetch it within the bounds of
 * the platform, 2 s at the shortest: interval and timeout of the check, then the election and the fetch.
 */
export const checkIntervalMs = 400

/** Duration of a watch that only checks whether the store answers, in milliseconds. */
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

/** How long a reader waits for its watch in flight to deliver a configuration that another node already has, in milliseconds. */
export const watchDeliveryMs = 800

/**
 * Time in milliseconds for which a node waits for missed changes before it requests them from a reader of its failure
 * domain.
 */
export const gapDelayMs = 150

/** The same for a reader of another failure domain, in milliseconds. */
export const crossDomainGapDelayMs = 600

/** How often a node that is not a reader checks whether it has to become one, in milliseconds. */
export const electionIntervalMs = 150

/** Nodes request a new configuration after a random delay of up to this, in milliseconds, so that requests are spread. */
export const fetchJitterMs = 60

/**
 * The same if only nodes of other failure domains have the configuration, in milliseconds: the first node that
 * fetches it announces it to the nodes of its own failure domain, which then request it from that node.
 */
export const crossDomainFetchJitterMs = 600

/** Maximum number of entries that can't be used and whose line in the log is remembered; each takes about 300 bytes. */
export const maxUnusableEntries = 10_000
