import type { Admission } from '../admission/index.js'
import { subscribe } from '../clock/index.js'
import type { Clock } from '../clock/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Logger } from '../logger/index.js'
import { createProbe, createProbeRoutes, MeasuringBudget, Prober } from '../measuring/index.js'
import type { MeasuringLimits } from '../measuring/index.js'
import type { Directory } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Random } from '../random/index.js'
import type { Router } from '../router/index.js'
import type { Part, Supervisor } from '../supervisor/index.js'
import type { Target } from '../target/index.js'

/** Interval of the timer that detects pauses of this process, in milliseconds. */
const pauseCheckIntervalMs = 250

/** A timer that fires at least this late means that the process was paused, in milliseconds. */
const minPauseMs = 1_000

/** Adds the parts that probe targets, update the router on member changes and detect pauses to the supervisor of a node. */
export async function addRoutingParts (context: RoutingContext): Promise<void> {
  const { clock, random, limits, supervisor, router, target, self, metrics } = context
  const budget = MeasuringBudget.create({ clock, random, limits })
  context.routes.push(createProbeRoutes({ budget, service: self.service, incarnation: target.incarnation, readLoad: () => target.load }))
  metrics.register('measuring_messages_total', 'counter', () => budget.cost.messages)
  metrics.register('measuring_bytes_total', 'counter', () => budget.cost.bytes)
  metrics.register('measuring_core_seconds_total', 'counter', () => budget.cost.coreMs / 1_000)
  metrics.register('measuring_denied_total', 'counter', () => budget.cost.denied)
  await supervisor.add('measuring', async () => Prober.create({ clock, budget, balancers: () => router.balancers, probe: createProbe(context.controlClients), ownTargetId: self.id }))
  await supervisor.add('memberChanges', async () => subscribeToMemberChanges(context))
  await supervisor.add('pauses', async () => createPauseDetector({ ...context, onPause: () => { router.resetEstimates() } }))
}

function subscribeToMemberChanges ({ clock, directory, router, logger }: RoutingContext): Part {
  const stop = subscribe(clock, directory.changes,
    service => { router.refresh(service) },
    error => { logger.error('member-change-failed', { error: String(error) }) })
  return { close: async () => { stop() } }
}

/** Detects pauses of the process. After a pause, the router's view of targets is outdated and queued calls have expired. */
export function createPauseDetector ({ clock, admission, logger, onPause }: PauseDetectorOptions): Part {
  let lastTickAt = clock.now()
  let pauses = 0
  const stop = clock.every(pauseCheckIntervalMs, () => {
    const now = clock.now()
    const lateMs = now - lastTickAt - pauseCheckIntervalMs
    lastTickAt = now
    if (lateMs < minPauseMs) return
    pauses++
    logger.warn('process-paused', { lateMs: Math.round(lateMs) })
    admission.refuseExpired()
    onPause()
  })
  return { close: async () => { stop() }, dump: () => ({ pauses }) }
}

interface PauseDetectorOptions {
  readonly clock: Clock
  readonly admission: Admission
  readonly logger: Logger
  /** Called after each detected pause. */
  readonly onPause: () => void
}

interface RoutingContext {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly directory: Directory
  readonly supervisor: Supervisor
  readonly admission: Admission
  readonly router: Router
  readonly target: Target
  readonly metrics: Metrics
  readonly controlClients: ControlClients
  /** Handlers of control messages; a handler that answers probes is added. */
  readonly routes: Routes[]
  /** The target on this VM. */
  readonly self: { readonly id: string, readonly service: string }
  /** Reads the current limits of measuring from the profile. */
  readonly limits: () => MeasuringLimits
}
