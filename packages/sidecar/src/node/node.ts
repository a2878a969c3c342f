import { ReadPace } from 'auburnturn/core/bodies'
import type { Clock } from 'auburnturn/core/clock'
import { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import { Supervisor } from 'auburnturn/core/supervisor'
import { BodyMemory } from '../core/bodies/index.js'
import type { BodyLimits } from '../core/bodies/index.js'
import { Drain } from '../core/draining/index.js'
import { InFlightRequests, parseHost, parsePort } from '../core/listening/index.js'
import { MetricsServer } from '../core/metrics/index.js'
import { SubscriberList } from '../core/reports/index.js'
import type { Settings } from '../core/settings.js'
import { HttpStoreClient, ReadinessServer } from '../platform/index.js'
import { CallerServer } from './caller-server.js'
import { bodyMemoryShare, bytesPerMegabyte, metricsPath, metricsPort } from './constants.js'
import { LocalState } from './local-state.js'
import { Messaging } from './messaging.js'
import { openPeerCallServer } from './open-peer-call-server.js'
import { openStateServer } from './open-state-server.js'
import { receiveMessage } from './receive-message.js'
import { registerGauges } from './register-gauges.js'
import { RequestPath } from './request-path.js'
import { StoreSync } from './store-sync.js'

/** One node of the platform: forwards the requests of callers on its VM, and those of other nodes to the upstream on its VM. */
export class Node {
  private settings: Settings
  private readonly clock: Clock
  private readonly random: Random
  private readonly logger: Logger
  private readonly metrics: Metrics
  private readonly bodyLimits: BodyLimits
  private readonly pendingInput: PendingInput
  private readonly inFlightRequests: InFlightRequests
  private readonly state: LocalState
  private readonly subscribers: SubscriberList
  private readonly requestPath: RequestPath
  private readonly drainState: Drain
  private readonly store: HttpStoreClient
  private readonly storeSync: StoreSync
  private readonly supervisor: Supervisor
  private messaging: Messaging | undefined
  private callerServer: CallerServer | undefined

  private constructor ({ settings, clock, random, logger }: NodeOptions) {
    const { ip, failureDomain, upstream } = settings
    this.settings = settings
    this.clock = clock
    this.random = random
    this.logger = logger
    this.metrics = Metrics.create({ clock })
    this.bodyLimits = { memory: BodyMemory.create({ maxBytes: settings.memoryMb * bytesPerMegabyte * bodyMemoryShare }), pace: ReadPace.create({ clock }) }
    this.pendingInput = PendingInput.create({ clock })
    this.inFlightRequests = InFlightRequests.create({ clock })
    this.subscribers = SubscriberList.create({ clock })
    const { metrics, bodyLimits, pendingInput } = this
    const onChange = (): void => { this.messaging?.reporter.reportChanges() }
    const state = LocalState.create({ clock, random, logger, ip, failureDomain, onChange, onSelection: () => { this.messaging?.subscriber.renewSubscriptions() } })
    this.state = state
    this.requestPath = RequestPath.create({
      settings,
      clock,
      random,
      logger,
      metrics,
      bodyLimits,
      pendingInput,
      state,
      bounds: () => this.settings.bounds,
      isLeaving: () => this.drainState.leaving,
      admits: deadlineAt => this.drainState.admits(deadlineAt),
      onCrash: record => { this.messaging?.crashSync.announce(record) },
      onTargetChange: onChange
    })
    this.drainState = this.createDrain()
    this.store = HttpStoreClient.create({ address: settings.store, clock, bodyLimits, onCall: kind => { metrics.count('platform_reads_total', { kind }) } })
    this.storeSync = StoreSync.create({ clock, random, logger, ip, failureDomain, upstream, store: this.store, state, peers: this.requestPath.peers, announcer: () => this.messaging?.announcer })
    this.supervisor = Supervisor.create({ clock, logger })
  }

  /** Resolves when the node listens and all its parts have started. */
  static async create (options: NodeOptions): Promise<Node> {
    const node = new Node(options)
    await node.start()
    return node
  }

  /** Whether callers may send requests to this node. */
  get ready (): boolean {
    return !this.drainState.leaving && this.state.isComplete
  }

  /** Version of the active configuration, 0 before the first. */
  get version (): number {
    return this.state.configuration.version
  }

  /** Whether this node could choose a target of a service now. */
  hasUsableTarget (service: string): boolean {
    return this.requestPath.hasUsableTarget(service)
  }

  /** Stops immediately, even with requests in flight. */
  async close (): Promise<void> {
    await this.supervisor.close()
    this.requestPath.close()
    this.store.close()
  }

  /** Applies changed settings: `bounds` take effect immediately; other changes require a restart of the process. */
  reload (settings: Settings): void {
    const { bounds: previousBounds, ...previousFixed } = this.settings
    const { bounds, ...fixed } = settings
    const needsRestart = JSON.stringify(fixed) !== JSON.stringify(previousFixed)
    this.logger.info('settings-reloaded', { bounds: JSON.stringify(bounds), changed: JSON.stringify(bounds) !== JSON.stringify(previousBounds), needsRestart })
    this.settings = { ...this.settings, bounds }
  }

  /** Waits until callers use other nodes, completes the requests in flight, and closes. Resolves when the process can exit. */
  async drain (): Promise<void> {
    this.storeSync.election.stop()
    await this.drainState.run(this.settings.bounds.graceMs)
  }

  /** Returns the state of this node, without bodies or header values of requests. */
  dump (): unknown {
    const { settings, state, requestPath, supervisor } = this
    return { name: settings.name, ready: this.ready, leaving: this.drainState.leaving, version: this.version, target: requestPath.target.describe(), directory: state.directory.dump(), quarantine: requestPath.quarantine.dump(), parts: supervisor.dump() }
  }

  /** Starts the parts in the order of their dependencies. The supervisor restarts those that fail. */
  private async start (): Promise<void> {
    const { supervisor, clock, logger, metrics, bodyLimits, pendingInput, inFlightRequests, state, storeSync, requestPath } = this
    const { listen, service, internalPorts } = this.settings
    const { configuration } = state
    const { target } = requestPath
    const nodesIp = parseHost(listen.nodes)
    await supervisor.add('callers', async () => await this.openCallerServer())
    await supervisor.add('peer-calls', async () => await openPeerCallServer({ ip: nodesIp, port: internalPorts[0], clock, logger, target, service, configuration, bodyLimits, pendingInput, inFlightRequests }))
    await supervisor.add('state', async () => await openStateServer({ address: listen.nodes, inFlightRequests, logger, readState: () => state.readShared(storeSync.knownPosition) }))
    await supervisor.add('reports', async () => await this.startMessaging(nodesIp))
    await supervisor.add('follower', async onFailure => storeSync.startFollower(onFailure))
    await supervisor.add('prober', async onFailure => requestPath.startProber(onFailure))
    await supervisor.add('pauses', async () => requestPath.startPauseDetector())
    registerGauges(metrics, { inFlightRequests, target, configuration, bodyMemory: bodyLimits.memory })
    await supervisor.add('metrics', async () => await MetricsServer.create({ ip: nodesIp, port: metricsPort, path: metricsPath, metrics, dump: () => this.dump() }))
    await supervisor.add('readiness', async () => await ReadinessServer.create({ ip: parseHost(listen.readiness), port: parsePort(listen.readiness), isReady: () => this.handleReadinessCheck() }))
  }

  private async openCallerServer (): Promise<CallerServer> {
    const { inFlightRequests, logger, requestPath: { ingress }, state: { configuration }, settings: { listen } } = this
    this.callerServer = await CallerServer.create({ address: listen.callers, handle: async (request, response) => { await ingress.serve(request, response) }, inFlightRequests, logger, configuration })
    return this.callerServer
  }

  private async startMessaging (ip: string): Promise<Messaging> {
    const { clock, random, logger, state, subscribers, storeSync, requestPath, settings: { internalPorts, failureDomain, service } } = this
    const recordSubscription = (subscriberIp: string): void => {
      if (subscribers.recordSubscription(subscriberIp)) this.messaging?.reporter.sendFullReport(subscriberIp)
    }
    this.messaging = await Messaging.create({
      ip,
      port: internalPorts[0],
      failureDomain,
      service,
      clock,
      random,
      logger,
      quarantine: requestPath.quarantine,
      election: storeSync.election,
      state,
      subscribers,
      describeTarget: () => requestPath.target.describe(),
      onMessage: (senderIp, message) => { receiveMessage(senderIp, message, { state, storeSync, crashSync: () => this.messaging?.crashSync, recordSubscription }) }
    })
    return this.messaging
  }

  private createDrain (): Drain {
    const { clock, logger, inFlightRequests, requestPath: { target, ingress } } = this
    return Drain.create({
      clock,
      logger,
      inFlightRequests,
      closeTarget: () => { target.close() },
      stopListening: async () => { await this.callerServer?.stopListening() },
      cancelRequests: () => { ingress.cancelAll() },
      answerRequests: () => { ingress.answerAll() }
    })
  }

  /** Returns whether the node is ready. */
  private handleReadinessCheck (): boolean {
    if (this.drainState.leaving) this.drainState.recordRefusedCheck()
    return this.ready
  }
}

interface NodeOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
}
