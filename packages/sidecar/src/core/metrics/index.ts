/** HTTP server for the counters and latency histograms of this node. */
export { MetricsServer } from './metrics-server.js'
