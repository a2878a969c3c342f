import type { ConfigurationStore } from '../configuration/index.js'
import { ControlServer } from '../control/index.js'
import type { Directory } from '../membership/index.js'
import type { Notices } from '../notices/index.js'
import { OperatorServer } from '../operator/index.js'
import type { NodeState } from '../operator/index.js'
import { PlatformClient } from '../platform/index.js'
import type { NodeSettings } from '../settings/index.js'
import { Supervisor } from '../supervisor/index.js'
import { createCallPipeline, openListener } from './call-pipeline.js'
import type { CallPipeline, ListenerName } from './call-pipeline.js'
import { createComponents } from './components.js'
import type { NodeComponents, NodeOptions } from './components.js'
import { registerNodeMetrics } from './node-metrics.js'
import { OwnMembershipMonitor } from './own-membership-monitor.js'
import { addRoutingParts } from './routing.js'

/** Time between refusing all new calls and closing idle connections, in milliseconds. */
const idleConnectionGraceMs = 50

/** The process that runs on the VM of one upstream: it admits calls to the upstream and routes calls to other targets. */
export class Node {
  private readonly components: NodeComponents
  private readonly supervisor: Supervisor
  private readonly ports = { callers: 0, peers: 0, control: 0, operator: 0 }
  private closing = false
  private started = false

  private constructor (settings: NodeSettings, options: NodeOptions) {
    this.components = createComponents(settings, options)
    const { clock, logger } = this.components
    this.supervisor = Supervisor.create({ clock, logger: logger.createChild('supervisor') })
  }

  /** Starts every part. Rejects with a fault if an address can't be bound. */
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

  get incarnation (): string { return this.components.incarnation }
  get store (): ConfigurationStore { return this.components.store }
  get directory (): Directory { return this.components.directory }
  get notices (): Notices { return this.components.notices }
  get callersPort (): number { return this.ports.callers }
  get peersPort (): number { return this.ports.peers }
  get controlPort (): number { return this.ports.control }
  get operatorPort (): number { return this.ports.operator }

  /** Whether the node is starting, serving calls or draining. */
  get state (): NodeState {
    if (this.closing) return 'draining'
    return this.started ? 'serving' : 'starting'
  }

  /**
   * Refuses new work for the upstream of this VM as not run. Resolves when the profile's `newWorkMs`, in which other nodes
   * receive the announcement, has passed and no attempt runs on the upstream. Calls to other targets are still routed,
   * because work that runs on the upstream may need them.
   */
  async drain (): Promise<void> {
    const { clock, store, settings, tracker } = this.components
    this.startLeaving()
    await clock.sleep(store.getProfile(settings.service).drain.newWorkMs)
    await tracker.waitUntilUpstreamIdle()
  }

  /** Refuses new work as not run, waits for calls in flight, then closes every part. */
  async close (): Promise<void> {
    const { clock, tracker } = this.components
    this.startLeaving()
    await tracker.waitUntilUpstreamIdle()
    tracker.refuseNewCalls()
    // A request already sent on an open connection is refused as not run; closing the connection now would reset it.
    if (this.started) await clock.sleep(idleConnectionGraceMs)
    await tracker.waitUntilIdle()
    await this.supervisor.close()
  }

  dump (): Record<string, unknown> {
    const { settings, incarnation, tracker, store, directory, configurationUpdater, notices, admission, metrics } = this.components
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

  /** Starts to refuse new work for the upstream of this VM, and announces to other nodes that the target leaves. */
  private startLeaving (): void {
    if (this.closing) return
    this.closing = true
    const { admission, directory, settings, incarnation } = this.components
    admission.drain()
    const ownMember = directory.find(settings.service, settings.id)
    if (ownMember !== undefined) directory.announceLeaving(ownMember, incarnation)
  }

  /** Starts the parts. They close in reverse order: the operator address last, so that a drain can be monitored. */
  private async start (): Promise<void> {
    const pipeline = createCallPipeline(this.components)
    await this.supervisor.add('operator', async fail => await this.openOperatorServer(fail))
    await this.startControlPlane(pipeline)
    await this.startDataPlane(pipeline)
    const { metrics, admission, store } = this.components
    registerNodeMetrics(metrics, { admission, store, supervisor: this.supervisor })
    this.started = true
  }

  /**
   * Starts the parts that communicate with the platform and with other nodes. Calls are accepted only after this has read
   * the configuration and member lists from them, or the wait for the first read has timed out.
   */
  private async startControlPlane ({ router, target }: CallPipeline): Promise<void> {
    const { settings, directory, controlClients, controlRoutes, configurationUpdater, tickets, store } = this.components
    const platform = PlatformClient.create(settings.platform.map(({ ip, port }) => `http://${ip}:${port}`))
    controlRoutes.push(tickets.routes(target), configurationUpdater.routes)
    await this.supervisor.add('membership', async () => directory)
    await this.supervisor.add('platform', async () => platform)
    await this.supervisor.add('controlClients', async () => controlClients)
    await addRoutingParts({
      ...this.components,
      logger: this.components.logger.createChild('routing'),
      supervisor: this.supervisor,
      router,
      target,
      controlClients,
      routes: controlRoutes,
      self: settings,
      limits: () => store.getProfile(settings.service).measuring
    })
    await this.supervisor.add('control', async () => await this.openControlServer())
    await this.supervisor.add('configuration', async () => configurationUpdater)
    await configurationUpdater.start(platform)
  }

  /** Starts the parts that serve calls; the listeners open last. */
  private async startDataPlane (pipeline: CallPipeline): Promise<void> {
    const { upstream, peers, target, router } = pipeline
    await this.supervisor.add('upstream', async () => upstream)
    await this.supervisor.add('peers', async () => peers)
    await this.supervisor.add('target', async () => ({ close: async () => {}, dump: () => target.dump() }))
    await this.supervisor.add('router', async () => ({ close: async () => {}, dump: () => router.dump() }))
    await this.supervisor.add('quarantine', async () => this.components.quarantine)
    await this.supervisor.add('ownMembership', async () => this.createOwnMembershipMonitor())
    await this.addListener('peers', pipeline)
    await this.addListener('callers', pipeline)
  }

  private async addListener (name: ListenerName, pipeline: CallPipeline): Promise<void> {
    await this.supervisor.add(`${name}Listener`, async () => {
      const listener = await openListener(name, this.components, pipeline)
      this.ports[name] = listener.port
      return listener
    })
  }

  private createOwnMembershipMonitor (): OwnMembershipMonitor {
    const { settings, incarnation, clock, logger, directory, store, admission } = this.components
    return OwnMembershipMonitor.create({
      id: settings.id,
      incarnation,
      service: settings.service,
      clock,
      directory,
      logger: logger.createChild('membership'),
      getProfile: name => store.getProfile(name),
      drain: () => { admission.drain() },
      open: () => { if (!this.closing) admission.open() }
    })
  }

  private async openControlServer (): Promise<ControlServer> {
    const { settings, controlRoutes } = this.components
    const server = await ControlServer.create({ ...settings.control, routes: controlRoutes })
    this.ports.control = server.port
    return server
  }

  private async openOperatorServer (fail: (error: unknown) => void): Promise<OperatorServer> {
    const { settings, metrics } = this.components
    const operator = await OperatorServer.create({ ...settings.operator, dumpNode: () => this.dump(), readState: () => this.state, metrics, fail })
    this.ports.operator = operator.port
    return operator
  }
}
