/** Counters and latency histograms of one node, readable as JSON and by Prometheus. */
export { formatSeries } from './labels.js'
export { Metrics } from './metrics.js'
export type { Labels, ValueReader } from './types.js'
