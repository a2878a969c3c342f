/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>

/** Reads the present value of a gauge or of a counter that is kept elsewhere. */
export type ValueReader = () => number

/** How Prometheus treats a metric. */
export type MetricType = 'counter' | 'gauge' | 'summary'

/** The durations of the last windows, and the totals since the start. */
export interface DurationSummary {
  readonly count: number
  readonly sumSeconds: number
  /** Seconds by percentile, in the order of `percentiles`. */
  readonly quantileSeconds: readonly number[]
}

/** One series as it is scraped. */
export interface Sample {
  /** Name without prefix and labels. */
  readonly name: string
  /** Labels in braces, or nothing. */
  readonly labels: string
  readonly value: number
}
