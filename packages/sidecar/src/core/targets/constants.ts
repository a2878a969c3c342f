/** Price of a target in another failure domain, in service times. */
export const crossDomainCost = 0.3

/** How much slower a target that has just started works. */
export const coldStartSlowness = 2

/** Price of each share of failed requests, in service times: half failed weighs like a much slower target. */
export const failureCost = 6

/** A node that was not heard for this long, in milliseconds, counts as out of reach. */
export const unresponsiveAfterMs = 1_200

/** Price of a target whose node is silent, in service times: taken only where no other is left. */
export const unresponsiveCost = 20

/** Price of a full limit while nothing waits yet, in service times. */
export const loadCost = 0.2

/** Share of a target's slots that may be in use: beyond, all its work slows down. */
export const usableSlotShare = 0.8

/** Milliseconds for which a target that is not listed yet may be used on the word of the node beside it. */
export const unlistedUseMs = 6_000

/** After an outage of the list, entries that are missing may come back for this long, in milliseconds. */
export const missingEntryGraceMs = 1_900

/** After this long without an answer of the list, in milliseconds, entries may have lapsed unjustly. */
export const listOutageMs = 1_500

/** Weight of a new result in the moving share of failures. */
export const failureWeight = 0.1

/** Time in milliseconds after which half of a remembered failure is forgotten. */
export const failureHalfLifeMs = 2_000

/** From this slowness on, by what is usual, it is better to start work elsewhere, or later; a target that has just started is below it. */
export const slowFactor = 2.5

/** Price of a slow target, in service times: work that waits there for its usual speed. */
export const slowTargetCost = 1.4

/** Part of its slowness by which one slow target is preferred to another. */
export const slownessCostShare = 0.1

/** Ids of targets that left are remembered up to this number. */
export const maxRemovedIds = 10_000

/** A node that was not heard for this long is forgotten when a target leaves, in milliseconds. */
export const reportRetentionMs = 60_000

/** Targets of one service in the own failure domain that a node listens to. */
export const sameDomainPeers = 5

/** Targets of one service in other failure domains that a node listens to. */
export const crossDomainPeers = 2

/** Where the own failure domain has fewer, others make up this number. */
export const minPeers = 6

/** A node listens to at most so many times as many when those do not suffice. */
export const maxWideningFactor = 8

/** Shortest time between two steps to more targets, in milliseconds: the answers of the new ones take a moment. */
export const widenIntervalMs = 300

/** A node goes back to the usual number after this long, in milliseconds. */
export const wideningDurationMs = 3_000

/** Price of the best target, in service times, from which on a node looks for others. */
export const widenAboveCost = 2
