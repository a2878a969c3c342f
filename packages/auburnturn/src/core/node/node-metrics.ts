import type { Admission } from '../admission/index.js'
import type { Store } from '../configuration/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Supervisor } from '../supervisor/index.js'

/** Registers metrics that read their values from admission, configuration store and supervisor. */
export function registerNodeMetrics (metrics: Metrics, { admission, store, supervisor }: { admission: Admission, store: Store, supervisor: Supervisor }): void {
  metrics.show('admission_running', 'gauge', () => admission.load.running)
  metrics.show('admission_queued', 'gauge', () => admission.load.queued)
  metrics.show('configuration_version', 'gauge', () => store.version)
  metrics.show('restarts_total', 'counter', () => supervisor.restarts)
}
