/** Bytes from the start of a body that tell requests apart. */
export const fingerprintBodyBytes = 1_024

/** Lost calls within this time of the first belong to one crash, in milliseconds. */
export const incidentWindowMs = 10

/** Calls that were in flight together and all lost, from which a crash is proved. */
export const minLossesForCrash = 3

/** A refused connection within this time of a lost call proves a crash, in milliseconds. */
export const crashConfirmationMs = 2_000

/** Most fingerprints remembered as cleared; the oldest gives way. */
export const maxClearedFingerprints = 2_000

/** Most calls of one crash that come under suspicion. */
export const maxSuspectsPerCrash = 200
