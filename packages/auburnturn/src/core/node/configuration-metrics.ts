import type { Store } from '../configuration/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Relay } from '../relay/index.js'

/** Registers metrics for the age and the problems of the configuration, and for the state and traffic of the relay. */
export function registerConfigurationMetrics (metrics: Metrics, { store, relay }: { store: Store, relay: Relay }): void {
  const { freshness, refusals } = store
  metrics.show('configuration_confirmed_age_seconds', 'gauge', () => toSeconds(freshness.confirmedMs))
  metrics.show('platform_silent_seconds', 'gauge', () => toSeconds(freshness.heardMs))
  metrics.show('platform_behind_versions', 'gauge', () => freshness.behindBy)
  metrics.show('configuration_rejected', 'gauge', () => refusals.rejectedCount)
  metrics.show('configuration_conflicts', 'gauge', () => refusals.conflictCount)
  metrics.show('configuration_older_offered_total', 'counter', () => refusals.olderCount)
  metrics.show('relay_bytes_total', 'counter', () => relay.totalBytes)
  metrics.show('relay_reader', 'gauge', () => relay.readership.role === 'reader' ? 1 : 0)
  metrics.show('regions_apart', 'gauge', () => relay.apartCount)
}

/** Converts to seconds; NaN, a valid Prometheus sample value, while no age is known. */
function toSeconds (milliseconds: number | undefined): number {
  return milliseconds === undefined ? Number.NaN : milliseconds / 1000
}
