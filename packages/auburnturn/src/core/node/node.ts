import type { Store } from '../configuration/index.js'
import { ControlServer } from '../control/index.js'
import type { Directory } from '../membership/index.js'
import type { Notices } from '../notices/index.js'
import { Operator } from '../operator/index.js'
import type { NodeState } from '../operator/index.js'
import { Platform } from '../platform/index.js'
import type { NodeSettings } from '../settings/index.js'
import { Supervisor } from '../supervisor/index.js'
import { createCallPipeline, openListener } from './call-pipeline.js'
import type { CallPipeline, ListenerName } from './call-pipeline.js'
import { OwnMembershipMonitor } from './own-membership-monitor.js'
import { createParts } from './parts.js'
import type { NodeOptions, NodeParts } from './parts.js'
import { addRoutingParts } from './routing.js'
import { registerNodeMetrics } from './node-metrics.js'

/** Time between the refusal of every call and the end of idle connections, in milliseconds. */
const idleConnectionGraceMs = 50

/** The process beside one upstream. */
export class Node {
  private readonly parts: NodeParts
  private readonly supervisor: Supervisor
  private readonly ports = { callers: 0, peers: 0, control: 0, operator: 0 }
  private closing = false
  private started = false

  private constructor (settings: NodeSettings, options: NodeOptions) {
    this.parts = createParts(settings, options)
    const { clock, logger } = this.parts
    this.supervisor = Supervisor.create({ clock, logger: logger.label('supervisor') })
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

  get incarnation (): string { return this.parts.incarnation }
  get store (): Store { return this.parts.store }
  get directory (): Directory { return this.parts.directory }
  get notices (): Notices { return this.parts.notices }
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
    const { clock, store, settings, tracker } = this.parts
    this.startLeaving()
    await clock.sleep(store.profileOf(settings.service).drain.newWorkMs)
    await tracker.waitUntilUpstreamIdle()
  }

  /** Refuses new work as not run, lets what is in flight end, then closes every part. */
  async close (): Promise<void> {
    const { clock, tracker } = this.parts
    this.startLeaving()
    await tracker.waitUntilUpstreamIdle()
    tracker.refuseNewCalls()
    // A request that is on its way on an open connection is refused as not run rather than reset.
    if (this.started) await clock.sleep(idleConnectionGraceMs)
    await tracker.waitUntilIdle()
    await this.supervisor.close()
  }

  dump (): Record<string, unknown> {
    const { settings, incarnation, tracker, store, directory, configurationUpdater, notices, admission, metrics } = this.parts
    return {
      node: { id: settings.id, service: settings.service, incarnation, state: this.state },
      calls: tracker.dump(),
      configuration: store.dump(),
      membership: directory.dump(),
      relay: configurationUpdater.relay.dump(),
      notices: notices.dump(),
      admission: admission.dump(),
      metrics: metrics.dump(),
      parts: this.supervisor.dump()
    }
  }

  private startLeaving (): void {
    if (this.closing) return
    this.closing = true
    const { admission, directory, settings, incarnation } = this.parts
    admission.drain()
    const self = directory.find(settings.service, settings.id)
    if (self !== undefined) directory.announceLeaving(self, incarnation)
  }

  /** Parts close in the reverse order: the operator address last, so that a drain can be watched. */
  private async start (): Promise<void> {
    const path = createCallPipeline(this.parts)
    await this.supervisor.add('operator', async fail => await this.openOperatorServer(fail))
    await this.startControlPlane(path)
    await this.startDataPlane(path)
    const { metrics, admission, store } = this.parts
    registerNodeMetrics(metrics, { admission, store, supervisor: this.supervisor })
    this.started = true
  }

  /** Starts all that speaks with the platform and with other nodes; no call is taken before it has asked them. */
  private async startControlPlane ({ router, target }: CallPipeline): Promise<void> {
    const { settings, directory, controlClients, controlRoutes, configurationUpdater, tickets, store } = this.parts
    const platform = Platform.create(settings.platform.map(({ ip, port }) => `http://${ip}:${port}`))
    controlRoutes.push(tickets.routes(target), configurationUpdater.routes)
    await this.supervisor.add('membership', async () => directory)
    await this.supervisor.add('platform', async () => platform)
    await this.supervisor.add('controlClients', async () => controlClients)
    await addRoutingParts({
      ...this.parts,
      logger: this.parts.logger.label('routing'),
      supervisor: this.supervisor,
      router,
      target,
      clients: controlClients,
      routes: controlRoutes,
      self: settings,
      limits: () => store.profileOf(settings.service).measuring
    })
    await this.supervisor.add('control', async () => await this.openControlServer())
    await this.supervisor.add('configuration', async () => configurationUpdater)
    await configurationUpdater.start(platform)
  }

  private async startDataPlane (path: CallPipeline): Promise<void> {
    const { upstream, peers, target, router } = path
    await this.supervisor.add('upstream', async () => upstream)
    await this.supervisor.add('peers', async () => peers)
    await this.supervisor.add('target', async () => ({ close: async () => {}, dump: () => target.dump() }))
    await this.supervisor.add('router', async () => ({ close: async () => {}, dump: () => router.dump() }))
    await this.supervisor.add('quarantine', async () => this.parts.quarantine)
    await this.supervisor.add('ownMembership', async () => this.createOwnMembershipMonitor())
    await this.addListener('peers', path)
    await this.addListener('callers', path)
  }

  private async addListener (entrance: ListenerName, path: CallPipeline): Promise<void> {
    await this.supervisor.add(`${entrance}Listener`, async () => {
      const listener = await openListener(entrance, this.parts, path)
      this.ports[entrance] = listener.port
      return listener
    })
  }

  private createOwnMembershipMonitor (): OwnMembershipMonitor {
    const { settings, incarnation, clock, logger, directory, store, admission } = this.parts
    return OwnMembershipMonitor.create({
      id: settings.id,
      incarnation,
      service: settings.service,
      clock,
      directory,
      logger: logger.label('membership'),
      profileOf: name => store.profileOf(name),
      drain: () => { admission.drain() },
      open: () => { if (!this.closing) admission.open() }
    })
  }

  private async openControlServer (): Promise<ControlServer> {
    const { settings, controlRoutes } = this.parts
    const control = await ControlServer.create({ ...settings.control, routes: controlRoutes })
    this.ports.control = control.port
    return control
  }

  private async openOperatorServer (fail: (error: unknown) => void): Promise<Operator> {
    const { settings, metrics } = this.parts
    const operator = await Operator.create({ ...settings.operator, dumpNode: () => this.dump(), readState: () => this.state, metrics, fail })
    this.ports.operator = operator.port
    return operator
  }
}
