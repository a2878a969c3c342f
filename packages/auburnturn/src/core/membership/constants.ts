/** How long members that one list removed together stay usable after the removal or their last answer, in milliseconds. */
export const suspicionMs = 60_000

/** Window in which the returns of a member to the list are counted, in milliseconds. */
export const flapWindowMs = 120_000

/** Number of returns within the window at which a member counts as flapping. */
export const maxReturns = 3

/** How long a flapping member receives no new calls after its last return, in milliseconds. */
export const flappingExclusionMs = 30_000

/** How long a node's announcement about its incarnation is kept, in milliseconds. */
export const announcementMs = 120_000

/** Interval of the check for suspicions that end with time, in milliseconds. */
export const suspicionCheckIntervalMs = 1_000
