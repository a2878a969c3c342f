/** Counters, gauges and duration histograms of one node, exposed as JSON and in the Prometheus text format. */
export { formatSeries } from './labels.js'
export { Metrics } from './metrics.js'
export type { Labels, ValueReader } from './types.js'
