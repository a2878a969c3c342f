/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>

/** Returns the current value of a gauge or counter that another module maintains. */
export type ValueReader = () => number

/** Metric type in the Prometheus text format. */
export type MetricType = 'counter' | 'gauge' | 'summary'

/** Quantiles of the durations in the last one to two windows, and their count and sum since the start. */
export interface DurationSummary {
  readonly count: number
  readonly sumSeconds: number
  /** Quantiles in seconds, in the order of `percentiles`. */
  readonly quantileSeconds: readonly number[]
}

/** Value of one series at the time of a scrape. */
export interface Sample {
  /** Name without prefix and labels. */
  readonly name: string
  /** Labels in braces; empty without labels. */
  readonly labels: string
  readonly value: number
}
