/** A node that has nothing new to say reports after this long, in milliseconds. */
export const heartbeatMs = 500

/** How often the present figures are looked at, in milliseconds. */
export const lookMs = 80

/** Slowness that changed by this factor is reported at once. */
export const slownessStep = 1.2

/** Load that changed by this many requests is reported to the nodes of the same failure domain. */
export const nearLoadStep = 2

/** The same for all other nodes, to which bytes are dear. */
export const farLoadStep = 5

/** How often a node asks for the reports that it wants, in milliseconds. */
export const subscribeMs = 1_000

/** A node that has not asked for this long gets no more reports, in milliseconds: three times in a row may get lost. */
export const subscribedMs = 3_200
