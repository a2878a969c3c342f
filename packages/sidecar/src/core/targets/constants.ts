/** Cost of a target in another failure domain, in service times. */
export const crossDomainCost = 0.3

/** Slowness assumed for a target that has just started. */
export const coldStartSlowness = 2

/** Cost of a failure rate of 1, in service times: a target that fails half of its requests costs as much as a much slower one. */
export const failureCost = 2

/** Age of the last report, in milliseconds, above which a node counts as unresponsive. */
export const unresponsiveAfterMs = 1_200

/** Cost of a target whose node is unresponsive, in service times: high enough to choose it only if no other is left. */
export const unresponsiveCost = 20

/** Cost of a target at its limit with an empty queue, in service times; proportionally less below the limit. */
export const loadCost = 0.2

/** Share of a target's slots that nodes use: above it, all requests at the target slow down. */
export const usableSlotShare = 0.8

/** How long a target that is not listed yet may be used on the report of its node alone, in milliseconds. */
export const unlistedUseMs = 6_000

/** Time after an outage of the platform's list in which a missing entry may still return, in milliseconds. */
export const missingEntryGraceMs = 1_900

/** Time without an answer from the platform's list, in milliseconds, after which entries of live targets may have expired. */
export const listOutageMs = 1_500

/** Weight of a new result in the moving average of failures. */
export const failureWeight = 0.1

/** Half-life of a recorded failure, in milliseconds. */
export const failureHalfLifeMs = 2_000

/**
 * Slowness, relative to the usual one, from which on a target counts as slow: requests are then sent to another target or
 * wait. It is above the slowness of a target that has just started.
 */
export const slowFactor = 2.5

/** Added cost of a slow target, in service times, since requests wait there until it works at its usual speed again. */
export const slowTargetCost = 1.4

/** Share of a slow target's slowness that is added to its cost, so that the faster of two slow targets is preferred. */
export const slownessCostShare = 0.1

/** Maximum number of ids of removed targets that a node keeps. */
export const maxRemovedIds = 10_000

/** Age in milliseconds above which a report is discarded the next time a target is removed. */
export const reportRetentionMs = 60_000

/** Nodes of the own failure domain that a node selects for each service. */
export const sameDomainPeers = 5

/** Nodes of other failure domains that a node selects for each service. */
export const crossDomainPeers = 2

/** Minimum number of nodes selected for each service: other failure domains fill up what the own one lacks. */
export const minPeers = 6

/** Maximum factor by which a node widens its selection if the selected targets do not suffice. */
export const maxWideningFactor = 8

/** Minimum time between two widening steps, in milliseconds: the first reports of the added nodes take time to arrive. */
export const widenIntervalMs = 300

/** How long a selection stays widened after its last widening step, in milliseconds. */
export const wideningDurationMs = 3_000

/** Cost of the best target, in service times, from which on a node widens its selection. */
export const widenAboveCost = 2
