/** Length of a quantile window, in milliseconds; quantiles cover the last one to two windows. */
export const quantileWindowMs = 60_000

/** Maximum duration that a histogram records, in microseconds; a longer one is recorded as this. */
export const maxDurationMicroseconds = 3_600_000_000

/** Maximum duration that a new histogram has memory for, in microseconds; a longer one makes it grow. */
export const initialMaxDurationMicroseconds = 100_000

/** Significant decimal digits of a recorded duration. */
export const significantDigits = 2

/** Percentiles that are exposed for each duration. */
export const percentiles: readonly number[] = [50, 99, 99.9]

/** Prefix of the name of every metric. */
export const metricPrefix = 'auburnturn_'
