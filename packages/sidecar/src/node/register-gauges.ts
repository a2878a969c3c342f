import type { Metrics } from 'auburnturn/core/metrics'
import type { BodyMemory } from '../core/bodies/index.js'
import type { CurrentConfiguration } from '../core/configuration/index.js'
import type { InFlightRequests } from '../core/listening/index.js'
import type { OwnTarget } from '../core/own-target/index.js'

/** Registers the metrics that are read from the state of the node when they are requested. */
export function registerGauges (metrics: Metrics, { inFlightRequests, target, configuration, bodyMemory }: GaugeSources): void {
  metrics.register('in_flight', 'gauge', () => inFlightRequests.count)
  metrics.register('admission_running', 'gauge', () => target.slots.running)
  metrics.register('admission_queued', 'gauge', () => target.slots.waiting)
  metrics.register('target_rate_limit', 'gauge', () => target.rateLimit.perSecond)
  metrics.register('target_rate_limit_age_seconds', 'gauge', () => target.rateLimit.ageMs / 1_000)
  metrics.register('target_sent_in_window', 'gauge', () => target.rateLimit.sentInWindow)
  metrics.register('body_memory_bytes', 'gauge', () => bodyMemory.heldBytes)
  metrics.register('heap_used_bytes', 'gauge', () => process.memoryUsage().heapUsed)
  metrics.register('configuration_version', 'gauge', () => configuration.version)
}

interface GaugeSources {
  readonly inFlightRequests: InFlightRequests
  readonly target: OwnTarget
  readonly configuration: CurrentConfiguration
  readonly bodyMemory: BodyMemory
}
