/** A node that has told nothing for this long reports again, in milliseconds. */
export const heartbeatIntervalMs = 500

/** Every report after this long carries all that is known of the target, in milliseconds: an earlier one may have been lost. */
export const fullReportIntervalMs = 2_500

/** How often figures are looked at that change without a request, in milliseconds. */
export const reportCheckIntervalMs = 250

/** Load that changes again within this time is not reported anew, in milliseconds. */
export const minLoadReportIntervalMs = 40

/** Slowness that changed by this factor is reported at once. */
export const slownessChangeFactor = 1.2

/** Load that changed by this many requests is reported to the nodes of the same failure domain. */
export const sameDomainLoadStep = 2

/** The same for all other nodes, to which bytes are dear. */
export const crossDomainLoadStep = 5

/** How often a node looks which of the nodes that it listens to have to be asked for reports, in milliseconds. */
export const subscriptionCheckIntervalMs = 1_000

/** A node is asked again after this long, in milliseconds. */
export const subscriptionRenewalMs = 3_000

/** A node that was not heard for this long, in milliseconds, may have started anew, and is asked at once. */
export const resubscribeAfterMs = 900

/** A node that has not asked for this long gets no more reports, in milliseconds: two times in a row may get lost. */
export const subscriptionExpiryMs = 9_500
