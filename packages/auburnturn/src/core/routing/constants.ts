/** Most targets of one service that one router uses. */
export const subsetSize = 10

/** Longest time until the member list is read again without a change being announced, in milliseconds. */
export const refreshMs = 1_000

/** Least weight of the newest latency or error in its smoothed value. */
export const smoothing = 0.1

/** Weight of the newest error in the smoothed share of errors. */
export const errorSmoothing = 0.2

/** A target this many times slower than the fastest still counts as equal. */
export const slowRatio = 1.5

/** Answers after which a latency is known well enough to compare. */
export const knownAnswers = 3

/** How long a slow target is left before trial calls, in milliseconds; doubles while trials stay slow. */
export const firstPatienceMs = 100
export const maxPatienceMs = 4_000

/** Age at which a report weighs e times less, in milliseconds. */
export const reportLifeMs = 100

/** Share of trust that a report regains with each answer that agrees with it. */
export const trustRegained = 0.05

/** Time a call needs to show in reports, in milliseconds; younger calls do not contradict one. */
export const reportLagMs = 5

/** Age up to which `draining` or `starting` in a report is believed, in milliseconds. */
export const closedLifeMs = 2_000

/** Excess share of errors over the best target at which a target is ejected. */
export const ejectionShare = 0.5

/** Outcomes before a target can be ejected. */
export const ejectionOutcomes = 5

/** How long an ejected target is left, in milliseconds; doubles with each ejection in a row. */
export const firstEjectionMs = 500
export const maxEjectionMs = 30_000

/** Time over which a new incarnation or member reaches its full share, in milliseconds. */
export const rampMs = 5_000

/** Share that a new incarnation or member starts with. */
export const rampFloor = 0.1

/** How strongly errors in excess of the best target's count as load. */
export const errorWeight = 20
