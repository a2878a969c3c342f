/** Quantiles are of the last one to two windows of this length, in milliseconds. */
export const quantileWindowMs = 60_000

/** Longest duration that a histogram tells apart, in microseconds. */
export const maxDurationMicroseconds = 3_600_000_000

/** Range that a histogram holds before it grows, in microseconds. */
export const initialMaxDurationMicroseconds = 100_000

/** Significant decimal digits of a recorded duration. */
export const significantDigits = 2

/** Percentiles that are shown of each duration. */
export const percentiles: readonly number[] = [50, 99, 99.9]

/** Prefix of every metric's name. */
export const metricPrefix = 'auburnturn_'
