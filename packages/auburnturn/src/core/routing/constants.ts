/** Most targets of one service that one router uses. */
export const maxSubsetTargets = 10

/** Longest time until the member list is read again without a change being announced, in milliseconds. */
export const membersRefreshMs = 1_000

/** Weight of the newest error in the smoothed share of errors. */
export const errorSmoothing = 0.2

/** Weight of the newest answer in the usual latency of a service. */
export const averageSmoothing = 0.01

/** Answers of the usual latency that are mixed into what was seen of one target. */
export const priorAnswers = 2

/** The same weight when the connection was refused, which is no chance event. */
export const unreachableSmoothing = 0.5

/** A target this many times slower than the fastest still counts as equal. */
export const slowRatio = 2

/** Slowness from which a target keeps its bad record for longer. */
export const persistentSlowRatio = 3

/** How long what was seen of a target counts, in milliseconds; doubles while the target stays slow. */
export const minTimeConstantMs = 30
export const maxTimeConstantMs = 4_000

/** How much more a call weighs that must wait for a slot. */
export const queuedCallWeight = 4

/** Age at which a report weighs e times less, in milliseconds. */
export const reportDecayMs = 100

/** Share of trust that a report regains with each answer that agrees with it. */
export const confidenceGain = 0.05

/** Time a call needs to show in reports, in milliseconds; younger calls do not contradict one. */
export const reportLagMs = 5

/** Age up to which `draining` or `starting` in a report is believed, in milliseconds. */
export const closedStateMaxAgeMs = 2_000

/** Excess share of errors over the best target at which a target is ejected. */
export const ejectionExcessShare = 0.5

/** Outcomes before a target can be ejected. */
export const minEjectionOutcomes = 5

/** How long an ejected target is left, in milliseconds; doubles with each ejection in a row. */
export const firstEjectionMs = 500
export const maxEjectionMs = 30_000

/** Time over which a new incarnation or member reaches its full share, in milliseconds. */
export const rampMs = 5_000

/** Share that a new incarnation or member starts with. */
export const minRampShare = 0.1

/** How strongly errors in excess of the best target's count as load. */
export const errorWeight = 20

/** Share of a target's slots below which it has some to spare for a second attempt. */
export const spareSlotsShare = 0.8
