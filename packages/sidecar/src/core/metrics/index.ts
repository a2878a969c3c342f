/** The address where the counters and latency histograms of this node are read. */
export { MetricsServer } from './metrics-server.js'
