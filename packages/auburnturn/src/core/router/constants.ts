/** Retries that a service has in hand at the start, before first attempts earn any. */
export const initialRetries = 10

/** Most retries that can be saved up for one service. */
export const maxSavedRetries = 100

/** Share of first attempts that answer before a hedge is sent. */
export const hedgeQuantile = 0.9

/** First guess of the delay before a hedge, in milliseconds. */
export const initialHedgeDelayMs = 50

/** Relative step by which the delay before a hedge follows what is seen. */
export const hedgeDelayStepShare = 0.05
