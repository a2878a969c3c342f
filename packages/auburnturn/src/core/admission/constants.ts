import type { Profile } from '../settings/index.js'

/** Order in which queued calls are served by class; lower ranks first. */
export const classRank: Record<Profile['class'], number> = { critical: 0, internal: 1, browse: 2 }

/** Weights of the newest service time in the averages of recent and of usual service times. */
export const recentWeight = 0.1
export const usualWeight = 0.002

/** Ratio of the recent to the usual service time above which the limit is lowered. */
export const slowdownRatio = 3

/** Factor by which the limit is multiplied when it is lowered. */
export const limitDecreaseFactor = 0.9

/** Minimum limit, as a share of the profile's slots. */
export const minLimitShare = 0.5

/** Share of the typical service time that must remain before the deadline of a call, else the call is refused. */
export const minRemainingShare = 0.5
