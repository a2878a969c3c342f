import type { Admission } from '../admission/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Supervisor } from '../supervisor/index.js'

/** Registers metrics that read their values from admission, configuration store and supervisor. */
export function registerNodeMetrics (metrics: Metrics, { admission, store, supervisor }: { admission: Admission, store: ConfigurationStore, supervisor: Supervisor }): void {
  metrics.register('admission_running', 'gauge', () => admission.load.running)
  metrics.register('admission_queued', 'gauge', () => admission.load.queued)
  metrics.register('configuration_version', 'gauge', () => store.version)
  metrics.register('restarts_total', 'counter', () => supervisor.restarts)
}
