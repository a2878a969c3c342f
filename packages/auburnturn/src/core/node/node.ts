import { randomBytes } from 'node:crypto'
import { Admission } from '../admission/index.js'
import type { Answer, Body } from '../call/types.js'
import { headerNames } from '../call/index.js'
import { Clock } from '../clock/index.js'
import { Store } from '../configuration/index.js'
import { ControlClients, ControlServer } from '../control/index.js'
import type { Routes } from '../control/index.js'
import { Exchange, Listener } from '../http/index.js'
import { Logger } from '../logger/index.js'
import { Directory } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import { Notices } from '../notices/index.js'
import { Operator } from '../operator/index.js'
import type { NodeState } from '../operator/index.js'
import { Platform } from '../platform/index.js'
import { Quarantine } from '../quarantine/index.js'
import { Random } from '../random/index.js'
import { Router } from '../router/index.js'
import type { NodeSettings } from '../settings/index.js'
import { Supervisor } from '../supervisor/index.js'
import { Target } from '../target/index.js'
import { CallTracker } from './call-tracker.js'
import { createAnswerHeaders } from './answer-headers.js'
import { createCallIds } from './call-ids.js'
import { Configuration } from './configuration.js'
import { identifyCall } from './identify.js'
import { OwnMembership } from './own-membership.js'
import { describeToUpstream, Peers } from './peers.js'
import { addRouting } from './routing.js'
import { showNode } from './show-node.js'
import { isTicketRequest, TicketOffice } from './tickets.js'
import { recordWay } from './way.js'

/** Time between the refusal of every call and the end of idle connections, in milliseconds. */
const closeLingerMs = 50

/** What a node is given from outside; all have working defaults. */
export interface NodeOptions {
  readonly clock?: Clock
  readonly logger?: Logger
  readonly random?: Random
  readonly controlClients?: ControlClients
}

/** The process beside one upstream. */
export class Node {
  readonly incarnation = randomBytes(8).toString('hex')
  private readonly nextId = createCallIds(this.incarnation)
  readonly store: Store
  readonly directory: Directory
  readonly notices: Notices
  private readonly controlClients: ControlClients
  /** Handlers of control messages, added by each part before the server starts. */
  private readonly controlRoutes: Routes[] = []
  private readonly settings: NodeSettings
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly random: Random
  private readonly metrics: Metrics
  private readonly tracker: CallTracker
  private readonly supervisor: Supervisor
  private readonly admission: Admission
  private readonly quarantine: Quarantine
  private readonly configuration: Configuration
  private readonly tickets: TicketOffice
  private closing = false
  private started = false
  private readonly ports = { callers: 0, peers: 0, control: 0, operator: 0 }

  private constructor (settings: NodeSettings, options: NodeOptions) {
    this.settings = settings
    this.clock = options.clock ?? Clock.create()
    this.logger = (options.logger ?? Logger.create(settings.log.level)).label('node')
    this.controlClients = options.controlClients ?? ControlClients.create()
    this.random = options.random ?? Random.create(randomBytes(4).readInt32LE())
    this.store = Store.create({ clock: this.clock, logger: this.logger.label('configuration') })
    this.notices = Notices.create({ clock: this.clock })
    this.directory = Directory.create({
      clock: this.clock,
      logger: this.logger.label('membership'),
      notices: this.notices,
      floorOf: service => this.store.profileOf(service).membership.floor
    })
    this.metrics = Metrics.create({ clock: this.clock })
    this.tracker = CallTracker.create({ clock: this.clock, metrics: this.metrics })
    this.admission = Admission.create({ clock: this.clock })
    this.quarantine = Quarantine.create({ clock: this.clock, notices: this.notices })
    this.configuration = this.createConfiguration()
    const { id, service } = settings
    this.tickets = TicketOffice.create({ id, service, directory: this.directory, random: this.random, controlClients: this.controlClients })
    this.supervisor = Supervisor.create({ clock: this.clock, logger: this.logger.label('supervisor') })
  }

  /** Starts every part; rejects with a fault when an address can't be bound. */
  static async create (settings: NodeSettings, options: NodeOptions = {}): Promise<Node> {
    const node = new Node(settings, options)
    try {
      await node.start()
    } catch (error) {
      await node.supervisor.close()
      throw error
    }
    return node
  }

  get callersPort (): number { return this.ports.callers }
  get peersPort (): number { return this.ports.peers }
  get controlPort (): number { return this.ports.control }
  get operatorPort (): number { return this.ports.operator }

  /** Whether the node takes calls. */
  get state (): NodeState {
    if (this.closing) return 'draining'
    return this.started ? 'serving' : 'starting'
  }

  /**
   * Refuses new work for the own upstream as not run, and resolves when other nodes had time to hear of it
   * and nothing runs there. Calls to other targets still pass: what runs on the upstream may need them.
   */
  async drain (): Promise<void> {
    this.leave()
    await this.clock.sleep(this.store.profileOf(this.settings.service).drain.newWorkMs)
    await this.tracker.settleUpstream()
  }

  /** Refuses new work as not run, lets what is in flight end, then closes every part. */
  async close (): Promise<void> {
    this.leave()
    await this.tracker.settleUpstream()
    this.tracker.refuse()
    // A request that is on its way on an open connection is refused as not run rather than reset.
    if (this.started) await this.clock.sleep(closeLingerMs)
    await this.tracker.settle()
    await this.supervisor.close()
  }

  dump (): Record<string, unknown> {
    return {
      node: { id: this.settings.id, service: this.settings.service, incarnation: this.incarnation, state: this.state },
      calls: this.tracker.dump(),
      configuration: this.store.dump(),
      membership: this.directory.dump(),
      relay: this.configuration.relay.dump(),
      notices: this.notices.dump(),
      admission: this.admission.dump(),
      metrics: this.metrics.dump(),
      parts: this.supervisor.dump()
    }
  }

  private leave (): void {
    if (this.closing) return
    this.closing = true
    this.admission.drain()
    const self = this.directory.find(this.settings.service, this.settings.id)
    if (self !== undefined) this.directory.announceLeaving(self, this.incarnation)
  }

  private async start (): Promise<void> {
    const { settings, clock, directory, configuration } = this
    const platform = Platform.create(settings.platform.map(({ ip, port }) => `http://${ip}:${port}`))
    const peers = Peers.create({ clock, directory, connections: settings.limits.connectionsPerTarget, headerBytes: settings.limits.headerBytes })
    const upstream = this.createUpstream()
    const target = this.createTarget(upstream)
    this.controlRoutes.push(this.tickets.routes(target))
    const router = this.createRouter(peers, target)
    // First, so that it closes last: the drain can be watched.
    await this.supervisor.add('operator', async fail => await this.openOperator(fail))
    await this.supervisor.add('membership', async () => this.directory)
    await this.supervisor.add('platform', async () => platform)
    await this.supervisor.add('controlClients', async () => this.controlClients)
    this.controlRoutes.push(configuration.routes)
    await addRouting({ ...this.parts, router, target, clients: this.controlClients, routes: this.controlRoutes, self: settings, limits: () => this.store.profileOf(settings.service).measuring })
    await this.supervisor.add('control', async () => await this.openControl())
    await this.supervisor.add('configuration', async () => configuration)
    // No call is taken before platform and peers were asked what is in force.
    await configuration.start(platform)
    await this.supervisor.add('upstream', async () => upstream)
    await this.supervisor.add('peers', async () => peers)
    await this.supervisor.add('target', async () => ({ close: async () => {}, dump: () => target.dump() }))
    await this.supervisor.add('router', async () => ({ close: async () => {}, dump: () => router.dump() }))
    await this.supervisor.add('quarantine', async () => this.quarantine)
    await this.supervisor.add('ownMembership', async () => this.createOwnMembership())
    await this.listen('peers', true, router, target)
    await this.listen('callers', false, router, target)
    showNode(this.metrics, { admission: this.admission, store: this.store, supervisor: this.supervisor })
    this.started = true
  }

  private get parts () {
    const { clock, random, logger, directory, supervisor, admission, metrics } = this
    return { clock, random, logger: logger.label('routing'), directory, supervisor, admission, metrics }
  }

  private createConfiguration (): Configuration {
    const { settings, clock, random, logger, metrics, controlClients: clients, store, directory, notices } = this
    return Configuration.create({ settings, clock, random, logger, metrics, clients, store, directory, notices })
  }

  private createUpstream (): Exchange {
    const { ip, port } = this.settings.upstream
    return Exchange.create({ origin: `http://${ip}:${port}`, connections: this.settings.limits.callerConnections, clock: this.clock })
  }

  private createTarget (upstream: Exchange): Target {
    return Target.create({
      id: this.settings.id,
      incarnation: this.incarnation,
      clock: this.clock,
      admission: this.admission,
      quarantine: this.quarantine,
      run: this.tracker.trackAttempt('upstream', async (call, body: Body, answer: Answer) => await upstream.send(call, body, answer, describeToUpstream(call, this.clock)), () => this.settings.id),
      fetchTicket: async (service, withinMs) => await this.tickets.fetchElsewhere(service, withinMs)
    })
  }

  private createRouter (peers: Peers, target: Target): Router {
    const { id, service } = this.settings
    return Router.create({ clock: this.clock, random: this.random, directory: this.directory, quarantine: this.quarantine, remote: this.tracker.trackAttempt('peer', peers.attempt, member => member.id), local: { id, service, target } })
  }

  private async listen (name: 'callers' | 'peers', forwarded: boolean, router: Router, target: Target): Promise<void> {
    const { clock, store, directory, settings, logger, incarnation } = this
    const headers = createAnswerHeaders({ target, incarnation, forwarded })
    await this.supervisor.add(name, async () => {
      const listener = await Listener.create({
        ...settings[name],
        connections: settings.limits.callerConnections,
        headerBytes: settings.limits.headerBytes,
        clock,
        ...headers,
        logger: logger.label(name),
        identify: (request, signal) => recordWay(identifyCall(request, signal, { clock, store, directory, forwarded, nextId: this.nextId }), request.headers[headerNames.way]),
        serve: this.tracker.track(async (call, body, answer) => !forwarded && isTicketRequest(call)
          ? await this.tickets.answer(call, answer, target, tried => router.choose(call, tried))
          : await router.run(call, body, answer))
      })
      this.ports[name] = listener.port
      return listener
    })
  }

  private createOwnMembership (): OwnMembership {
    const { clock, directory, admission, store, incarnation } = this
    const { id, service } = this.settings
    return OwnMembership.create({
      id,
      incarnation,
      service,
      clock,
      directory,
      logger: this.logger.label('membership'),
      profileOf: name => store.profileOf(name),
      drain: () => { admission.drain() },
      open: () => { if (!this.closing) admission.open() }
    })
  }

  private async openControl (): Promise<ControlServer> {
    const control = await ControlServer.create({ ...this.settings.control, routes: this.controlRoutes })
    this.ports.control = control.port
    return control
  }

  private async openOperator (fail: (error: unknown) => void): Promise<Operator> {
    const operator = await Operator.create({ ...this.settings.operator, dumpNode: () => this.dump(), readState: () => this.state, metrics: this.metrics, fail })
    this.ports.operator = operator.port
    return operator
  }
}
