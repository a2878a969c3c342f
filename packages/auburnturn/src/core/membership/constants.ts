/** How long members that vanished together stay usable, in milliseconds. */
export const suspicionMs = 60_000

/** Window in which comings and goings of one member are counted, in milliseconds. */
export const flapWindowMs = 120_000

/** Returns within the window after which a member is held back. */
export const maxReturns = 3

/** How long a flapping member is held back after its last return, in milliseconds. */
export const flappingExclusionMs = 30_000

/** How long a node's own word about its incarnation is remembered, in milliseconds. */
export const announcementMs = 120_000

/** Time between looks at doubts that time alone resolves, in milliseconds. */
export const suspicionCheckIntervalMs = 1_000
