/** Requests that are lost within this time of the first one, in milliseconds, belong to the same crash. */
export const lossWindowMs = 50

/** A sign that comes later than this after the loss, in milliseconds, does not show that the target crashed then. */
export const crashConfirmationMs = 2_000

/** How long a target may still work on a request that its node has given up, in milliseconds. */
export const abandonedWorkMs = 1_000

/** Maximum number of given up requests that are remembered. */
export const maxAbandonedRequests = 32

/** Number of crashes after which a request is convicted. */
export const maxCrashes = 2

/** How long a request is refused after its conviction, in milliseconds; then it is tried again, since the targets may be mended. */
export const convictionMs = 30_000

/** By how much each crash of a trial lengthens the next conviction. */
export const convictionGrowth = 4

/** How long a crash is remembered, in milliseconds. */
export const crashRetentionMs = 30 * 60_000

/** Maximum number of crashes that are remembered; the oldest is forgotten first. */
export const maxCrashRecords = 100

/** Maximum number of suspects of one crash; a notice of them fits in one datagram. */
export const maxSuspectsPerCrash = 64

/** Maximum number of requests that are remembered as answered; the oldest is forgotten first. */
export const maxAnsweredRequests = 2_000

/** Delays after which the notice of a crash is sent again, in milliseconds: datagrams may be lost. */
export const repeatDelaysMs = [50, 100, 200, 400, 800, 1_600, 2_400] as const

/** Interval at which nodes compare the crashes that they know, in milliseconds. */
export const digestIntervalMs = 500

/** How long after its start a node asks others for the crashes that they know, in milliseconds. */
export const initialSyncMs = 5_000

/** No suspect runs within this time after a crash, in milliseconds, so that other crashes of the same moment are known. */
export const crashSettlingMs = 100

/** Retry-After for a suspect that can't be tried now, in milliseconds. */
export const suspectRetryAfterMs = 500
