/** Maximum number of targets of one service that one router uses. */
export const maxSubsetTargets = 10

/** Interval after which the member list is read again even if no change was announced, in milliseconds. */
export const membersRefreshMs = 1_000

/** Weight of the newest result in the smoothed share of errors. */
export const errorSmoothing = 0.2

/** Weight of the newest answer in the average latency of a service. */
export const averageSmoothing = 0.01

/** Number of answers with the average latency of the service that are added to the measurements of one target. */
export const priorAnswers = 2

/** Replaces `errorSmoothing` when the connection was refused: such a failure is systematic, not a random error. */
export const unreachableSmoothing = 0.5

/** Latency relative to the fastest target up to which a target counts as equally fast. */
export const slowRatio = 2

/** Latency relative to the fastest target from which the time constant of a target grows, so that it stays avoided. */
export const persistentSlowRatio = 3

/**
 * Bounds of the time constant with which latency measurements decay, in milliseconds; it doubles while a target stays slow.
 */
export const minTimeConstantMs = 30
export const maxTimeConstantMs = 4_000

/** Additional weight of an expected call that must wait for a slot, relative to one that need not. */
export const queuedCallWeight = 4

/** Age at which the weight of a load report has fallen to 1/e, in milliseconds. */
export const reportDecayMs = 100

/** Confidence in load reports that is regained with each report that is consistent with this router's own calls. */
export const confidenceGain = 0.05

/** Time until a call is included in load reports, in milliseconds; calls younger than that do not contradict a report. */
export const reportLagMs = 5

/** Age up to which the state `draining` or `starting` in a report is taken as current, in milliseconds. */
export const closedStateMaxAgeMs = 2_000

/** Excess of a target's share of errors over that of the best target at which the target is ejected. */
export const ejectionExcessShare = 0.5

/** Minimum number of outcomes before a target can be ejected. */
export const minEjectionOutcomes = 5

/** Duration of the first ejection, in milliseconds; it doubles with each consecutive ejection up to the maximum. */
export const firstEjectionMs = 500
export const maxEjectionMs = 30_000

/** Time over which a new member or incarnation reaches its full share of load, in milliseconds. */
export const rampMs = 5_000

/** Share of load with which a new member or incarnation starts. */
export const minRampShare = 0.1

/** Weight of a target's excess share of errors over that of the best target in its cost. */
export const errorWeight = 20

/** A target has spare slots for a second attempt while its expected calls are below this share of its slots. */
export const spareSlotsShare = 0.8
