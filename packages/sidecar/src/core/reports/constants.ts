/** A node that has nothing new to say reports after this long, in milliseconds. */
export const heartbeatMs = 400

/** Shortest time between two reports of changed load, in milliseconds. */
export const loadIntervalMs = 80

/** Slowness that changed by this factor is reported at once. */
export const slownessStep = 1.2

/** Load that changed by this many requests is reported. */
export const loadStep = 2
