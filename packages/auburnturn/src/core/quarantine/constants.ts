/** Bytes from the start of a request body that go into its fingerprint. */
export const fingerprintBodyBytes = 1_024

/** Calls lost within this time of the first one belong to the same incident, in milliseconds. */
export const incidentWindowMs = 10

/** Number of concurrent calls that must all be lost to prove a crash of the upstream. */
export const minLossesForCrash = 3

/** A refused connection within this time of a lost call proves a crash of the upstream, in milliseconds. */
export const crashConfirmationMs = 2_000

/** Maximum number of fingerprints remembered as cleared; the oldest is removed first. */
export const maxClearedFingerprints = 2_000

/** Maximum number of calls of one crash that are recorded as suspects. */
export const maxSuspectsPerCrash = 200
