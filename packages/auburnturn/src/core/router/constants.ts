/** Retries available to a service at the start, before first attempts have added any to its budget. */
export const initialRetries = 10

/** Maximum number of unused retries that the budget of one service accumulates. */
export const maxSavedRetries = 100

/** Share of first attempts that should answer before a hedge is sent. */
export const hedgeQuantile = 0.9

/** Initial delay before a hedge, in milliseconds. */
export const initialHedgeDelayMs = 50

/** Share of the hedge delay by which one observed latency can change it. */
export const hedgeDelayStepShare = 0.05
