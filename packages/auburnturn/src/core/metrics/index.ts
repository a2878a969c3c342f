/** Counters and latency histograms of one node, readable as JSON and by Prometheus. */
export { Metrics } from './metrics.js'
