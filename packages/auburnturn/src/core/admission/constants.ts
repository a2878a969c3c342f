import type { Profile } from '../settings/index.js'

/** Order in which classes are served; lower first. */
export const classRank: Record<Profile['class'], number> = { critical: 0, internal: 1, browse: 2 }

/** Weight of the newest service time in the recent and in the usual one. */
export const recentWeight = 0.1
export const usualWeight = 0.002

/** Recent over usual service time from which the limit is lowered. */
export const slowdownRatio = 3

/** Factor by which the limit is lowered at once. */
export const limitDecreaseFactor = 0.9

/** Least limit as a share of the profile's slots. */
export const minLimitShare = 0.5

/** Share of the typical service time that must be left before a call's deadline for it to be run. */
export const minRemainingShare = 0.5
