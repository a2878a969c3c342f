import { randomBytes } from 'node:crypto'
import { Admission } from '../admission/index.js'
import { Clock } from '../clock/index.js'
import { ConfigurationStore } from '../configuration/index.js'
import { ControlClients } from '../control/index.js'
import type { Routes } from '../control/index.js'
import { PendingInput } from '../http/index.js'
import { Logger } from '../logger/index.js'
import { Directory } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import { Notices } from '../notices/index.js'
import { Quarantine } from '../quarantine/index.js'
import { Random } from '../random/index.js'
import type { NodeSettings } from '../settings/index.js'
import { CallTracker } from './call-tracker.js'
import { ConfigurationUpdater } from './configuration-updater.js'
import { TicketService } from './ticket-service.js'

/** Components that can be replaced, for example in tests; each has a default. */
export interface NodeOptions {
  readonly clock?: Clock
  readonly logger?: Logger
  readonly random?: Random
  readonly controlClients?: ControlClients
}

/** The components of one node that hold state but bind no address; created before any supervised part is started. */
export interface NodeComponents {
  readonly settings: NodeSettings
  /** Distinguishes this process from earlier ones of the same target. */
  readonly incarnation: string
  readonly clock: Clock
  readonly pendingInput: PendingInput
  readonly logger: Logger
  readonly random: Random
  readonly store: ConfigurationStore
  readonly notices: Notices
  readonly directory: Directory
  readonly metrics: Metrics
  readonly tracker: CallTracker
  readonly admission: Admission
  readonly quarantine: Quarantine
  readonly controlClients: ControlClients
  /** Handlers of control messages, added by each part before the server starts. */
  readonly controlRoutes: Routes[]
  readonly configurationUpdater: ConfigurationUpdater
  readonly tickets: TicketService
}

/** Creates the components of a node and connects them. */
export function createComponents (settings: NodeSettings, options: NodeOptions): NodeComponents {
  const clock = options.clock ?? Clock.create()
  const logger = (options.logger ?? Logger.create(settings.log.level)).createChild('node')
  const random = options.random ?? Random.create(randomBytes(4).readInt32LE())
  const controlClients = options.controlClients ?? ControlClients.create()
  const store = ConfigurationStore.create({ clock, logger: logger.createChild('configuration') })
  const notices = Notices.create({ clock })
  const directory = Directory.create({
    clock,
    logger: logger.createChild('membership'),
    notices,
    getMaxRemovalShare: service => store.getProfile(service).membership.floor
  })
  const metrics = Metrics.create({ clock })
  return {
    settings,
    incarnation: randomBytes(8).toString('hex'),
    clock,
    pendingInput: PendingInput.create({ clock }),
    logger,
    random,
    store,
    notices,
    directory,
    metrics,
    tracker: CallTracker.create({ clock, metrics }),
    admission: Admission.create({ clock }),
    quarantine: Quarantine.create({ clock, notices }),
    controlClients,
    controlRoutes: [],
    configurationUpdater: ConfigurationUpdater.create({ settings, clock, random, logger, metrics, controlClients, store, directory, notices }),
    tickets: TicketService.create({ id: settings.id, service: settings.service, directory, random, controlClients })
  }
}
