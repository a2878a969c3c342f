/** Time after its last report, in milliseconds, after which a node reports again even without a change. */
export const heartbeatIntervalMs = 500

/** Time after the last full report, in milliseconds, after which the next report is full again, since that one may be lost. */
export const fullReportIntervalMs = 2_500

/** Interval at which the figures that change without a request are checked, in milliseconds. */
export const reportCheckIntervalMs = 250

/** Minimum time between two reports of changed load, in milliseconds. */
export const minLoadReportIntervalMs = 40

/** A change of slowness by more than this factor is reported immediately. */
export const slownessChangeFactor = 1.2

/** Change of load, in requests, that is reported to the nodes of the same failure domain. */
export const sameDomainLoadStep = 2

/** Change of load, in requests, that is reported to nodes of other failure domains, to which traffic is expensive. */
export const crossDomainLoadStep = 5

/** Interval at which a node checks which subscriptions to send, in milliseconds. */
export const subscriptionCheckIntervalMs = 1_000

/** Time after which a subscription is renewed, in milliseconds. */
export const subscriptionRenewalMs = 3_000

/** Time without a report, in milliseconds, after which a node may have restarted and is subscribed to again immediately. */
export const resubscribeAfterMs = 900

/** Time after which a subscription expires, in milliseconds: two renewals in a row may be lost. */
export const subscriptionExpiryMs = 9_500
