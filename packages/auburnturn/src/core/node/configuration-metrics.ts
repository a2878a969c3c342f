import type { ConfigurationStore } from '../configuration/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Relay } from '../relay/index.js'

/** Registers metrics for the age and the problems of the configuration, and for the state and traffic of the relay. */
export function registerConfigurationMetrics (metrics: Metrics, { store, relay }: { store: ConfigurationStore, relay: Relay }): void {
  const { freshness, declinedEntries } = store
  metrics.register('configuration_confirmed_age_seconds', 'gauge', () => toSeconds(freshness.confirmedAgeMs))
  metrics.register('platform_silent_seconds', 'gauge', () => toSeconds(freshness.platformContactAgeMs))
  metrics.register('platform_behind_versions', 'gauge', () => freshness.versionsBehind)
  metrics.register('configuration_rejected', 'gauge', () => declinedEntries.rejectedCount)
  metrics.register('configuration_conflicts', 'gauge', () => declinedEntries.conflictCount)
  metrics.register('configuration_older_offered_total', 'counter', () => declinedEntries.olderCount)
  metrics.register('relay_bytes_total', 'counter', () => relay.totalBytes)
  metrics.register('relay_reader', 'gauge', () => relay.readerElection.role === 'reader' ? 1 : 0)
  metrics.register('regions_apart', 'gauge', () => relay.disconnectedRegionCount)
}

/** Converts to seconds; NaN, a valid Prometheus sample value, while no age is known. */
function toSeconds (milliseconds: number | undefined): number {
  return milliseconds === undefined ? Number.NaN : milliseconds / 1000
}
