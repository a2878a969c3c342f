import type { Server } from 'node:http'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import { Supervisor } from 'auburnturn/core/supervisor'
import type { Part } from 'auburnturn/core/supervisor'
import { CurrentConfiguration } from './core/configuration/index.js'
import { applyChanges, ConfigurationFetcher, watchDeliveryMs, crossDomainFetchJitterMs, Follower, fetchJitterMs } from './core/following/index.js'
import type { SharedState } from './core/following/index.js'
import { Drain } from './core/draining/index.js'
import { BodyMemory } from './core/exchange/index.js'
import { createRequestHandler, Forwarder, Ingress, peerIdleTimeoutMs, Peers, serveState } from './core/forwarding/index.js'
import { parseHost, openServer, parsePort, stopListening, InFlightRequests } from './core/listening/index.js'
import { MetricsServer } from './core/metrics/index.js'
import { OwnTarget, Prober } from './core/own-target/index.js'
import type { LoadMonitor } from './core/own-target/index.js'
import { PauseDetector } from './core/pauses/index.js'
import { PeerCallServer } from './core/peer-calls/index.js'
import { Announcer, ReaderElection } from './core/readers/index.js'
import { SubscriberList, DatagramTransport, Reporter, Subscriber, computeIdChecksum } from './core/reports/index.js'
import type { Message, Subscribers } from './core/reports/index.js'
import type { RetryBudget } from './core/retries/index.js'
import type { Settings } from './core/settings.js'
import type { Change } from './core/store/index.js'
import { Directory, PeerSelection } from './core/targets/index.js'
import type { TargetReport } from './core/targets/index.js'
import { bodyMemoryShare, bytesPerMegabyte, defaultCallerIdleTimeoutMs, metricsPath, metricsPort } from './constants.js'
import { protocol, ReadinessServer, HttpStoreClient } from './platform/index.js'

/** One node of the platform: forwards the requests of callers on its VM, and those of other nodes to the upstream on its VM. */
export class Node {
  private settings: Settings
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly metrics: Metrics
  private readonly inFlightRequests: InFlightRequests
  private readonly drainState: Drain
  private readonly configuration: CurrentConfiguration
  private readonly directory: Directory
  private readonly selection: PeerSelection
  private readonly subscribers: SubscriberList
  private readonly memory: BodyMemory
  private readonly target: OwnTarget
  private readonly peers: Peers
  private readonly ingress: Ingress
  private readonly configurationFetcher: ConfigurationFetcher
  private readonly store: HttpStoreClient
  private readonly random: Random
  private readonly supervisor: Supervisor
  private readonly election: ReaderElection
  private reporter: Reporter | undefined
  private subscriber: Subscriber | undefined
  private announcer: Announcer | undefined
  private follower: Follower | undefined
  private prober: Prober | undefined
  private callerServer: Server | undefined
  /** Whether the full list of targets was received, from the store or from another node. */
  private hasTargetList = false

  private constructor ({ settings, clock, random, logger }: NodeOptions) {
    const { ip, failureDomain, service, upstream, listen } = settings
    this.settings = settings
    this.clock = clock
    this.random = random
    this.logger = logger
    this.metrics = Metrics.create({ clock })
    const { metrics } = this
    this.inFlightRequests = InFlightRequests.create({ clock })
    this.configuration = CurrentConfiguration.create({ random })
    this.selection = PeerSelection.create({ clock, ip, failureDomain })
    this.subscribers = SubscriberList.create({ clock })
    this.directory = Directory.create({ clock, selectAddresses: serviceName => this.selection.getServiceAddresses(serviceName) })
    const { configuration, directory } = this
    const memory = BodyMemory.create({ maxBytes: settings.memoryMb * bytesPerMegabyte * bodyMemoryShare })
    this.memory = memory
    this.target = OwnTarget.create({ address: upstream, service, failureDomain, clock, memory, logger, metrics, protocol, directory, loadMonitor: this.createLoadMonitor(), onChange: () => { this.reporter?.reportChanges() } })
    this.peers = Peers.create({ callPort: settings.internalPorts[0], statePort: parsePort(listen.nodes), clock, random, memory })
    const forwarder = Forwarder.create({
      clock,
      random,
      logger,
      metrics,
      directory,
      ownTarget: this.target,
      peers: this.peers,
      ip,
      failureDomain,
      onShortage: serviceName => { if (this.selection.widen(serviceName)) this.selectPeers() },
      retryBudget: () => this.getRetryBudget()
    })
    this.ingress = Ingress.create({ clock, logger, metrics, protocol, configuration, forwarder, memory, service, isLeaving: () => this.drainState.leaving, admits: deadlineAt => this.drainState.admits(deadlineAt) })
    this.drainState = Drain.create({
      clock,
      logger,
      inFlightRequests: this.inFlightRequests,
      closeTarget: () => { this.target.close() },
      stopListening: async () => { if (this.callerServer !== undefined) await stopListening(this.callerServer) },
      cancelRequests: () => { this.ingress.cancelAll() },
      answerRequests: () => { this.ingress.answerAll() }
    })
    this.store = HttpStoreClient.create({ address: settings.store, clock, memory, onCall: kind => { metrics.count('platform_reads_total', { kind }) } })
    this.election = ReaderElection.create({ clock, random, logger, ip, failureDomain, domainCount: () => this.directory.locations.domainCount, isDiscovered: () => this.directory.findListedAt(upstream) !== undefined, domainPeers: () => this.listOtherAddresses().filter(address => this.isSameDomain(address)), onStateChange: () => { this.announceState() } })
    this.configurationFetcher = ConfigurationFetcher.create({
      clock,
      logger,
      activeVersion: () => configuration.version,
      // A reader receives the configuration from its own watch; the other nodes request it from the reader that announced it.
      delayMs: sameDomain => this.election.isReader ? watchDeliveryMs : random.fraction() * (sameDomain ? fetchJitterMs : crossDomainFetchJitterMs),
      requestConfiguration: async address => await this.peers.readConfiguration(address),
      store: this.store,
      applyConfiguration: fetched => { this.applyStoreChanges([{ kind: 'configuration', configuration: fetched }], false) },
      requestState: async address => await this.peers.readState(address),
      applyState: state => { this.applySharedState(state) }
    })
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
    return !this.drainState.leaving && this.configuration.isLoaded && this.hasTargetList
  }

  /** Version of the active configuration, 0 before the first. */
  get version (): number {
    return this.configuration.version
  }

  /** Whether this node could choose a target of a service now. */
  hasUsableTarget (service: string): boolean {
    const own = this.target.describe()
    if (own.service === service && own.state === 'up') return true
    return this.directory.findCandidates(service).some(({ state, reportAgeMs }) => state === 'up' && reportAgeMs < Infinity)
  }

  /** Stops immediately, even with requests in flight. */
  async close (): Promise<void> {
    await this.supervisor.close()
    this.peers.close()
    this.store.close()
    this.target.disconnect()
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
    this.election.stop()
    await this.drainState.run(this.settings.bounds.graceMs)
  }

  /** Returns whether the node is ready. */
  private handleReadinessCheck (): boolean {
    if (this.drainState.leaving) this.drainState.recordRefusedCheck()
    return this.ready
  }

  /** Starts the parts in the order of their dependencies. The supervisor restarts those that fail. */
  private async start (): Promise<void> {
    const { supervisor, clock } = this
    const { listen } = this.settings
    await supervisor.add('callers', async () => await this.openCallerServer(listen.callers))
    await supervisor.add('peer-calls', async () => await this.openPeerCallServer(parseHost(listen.nodes)))
    await supervisor.add('state', async () => await this.openStateServer(listen.nodes))
    await supervisor.add('reports', async () => await this.startReporting(parseHost(listen.nodes)))
    await supervisor.add('follower', async onFailure => this.startFollower(onFailure))
    await supervisor.add('prober', async onFailure => this.startProber(onFailure))
    await supervisor.add('pauses', async () => PauseDetector.create({ clock, wallClock: Date.now, onPause: pausedMs => { this.handlePause(pausedMs) } }))
    this.registerMetrics()
    await supervisor.add('metrics', async () => await MetricsServer.create({ ip: parseHost(listen.nodes), port: metricsPort, path: metricsPath, metrics: this.metrics, dump: () => this.dump() }))
    await supervisor.add('readiness', async () => await ReadinessServer.create({ ip: parseHost(listen.readiness), port: parsePort(listen.readiness), isReady: () => this.handleReadinessCheck() }))
  }

  private async openCallerServer (address: string): Promise<Part> {
    const { inFlightRequests, logger } = this
    const server = await openServer({ address, inFlightRequests, logger, handle: async (request, response) => { await this.ingress.serve(request, response) } })
    this.callerServer = server
    server.keepAliveTimeout = defaultCallerIdleTimeoutMs
    server.on('connection', () => {
      const { limits } = this.configuration
      if (limits === undefined) return
      server.keepAliveTimeout = limits.idleTimeoutMs
      server.headersTimeout = limits.headerTimeoutMs
    })
    return createServerPart(server)
  }

  /** Opens the server for requests of other nodes. */
  private async openPeerCallServer (ip: string): Promise<Part> {
    const { clock, logger, inFlightRequests, memory, target, configuration, settings: { service, internalPorts } } = this
    return await PeerCallServer.create({
      ip,
      port: internalPorts[0],
      handle: createRequestHandler({ clock, target, service }),
      memory,
      maxBodyBytes: () => configuration.limits?.maxBodyBytes ?? Infinity,
      inFlightRequests,
      logger
    })
  }

  /** Opens the server for the state of this node. */
  private async openStateServer (address: string): Promise<Part> {
    const { logger, inFlightRequests } = this
    const server = await openServer({ address, inFlightRequests, logger, handle: async (request, response) => { await serveState(request, response, () => this.readState()) } })
    server.keepAliveTimeout = peerIdleTimeoutMs
    return createServerPart(server)
  }

  private async startReporting (ip: string): Promise<Part> {
    const { clock, random, logger, target, configuration, settings, election, directory } = this
    const transport = await DatagramTransport.create({ ip, port: settings.internalPorts[0], clock, random, logger, onMessage: (from, message) => { this.receiveMessage(from, message) } })
    const send = (bytes: Buffer, to: string): void => { transport.send(bytes, to) }
    const reporter = Reporter.create({
      clock,
      describe: () => ({ kind: 'full', target: target.describe(), configurationVersion: configuration.version }),
      subscribers: () => this.groupByDomain(this.subscribers.list()),
      otherAddresses: () => this.listOtherAddresses(),
      send
    })
    const subscriber = Subscriber.create({ clock, refreshSources: () => { this.selection.refresh(directory.locations) }, sources: () => this.selection.addresses, getReportAgeMs: address => directory.getReportAgeMs(address), send })
    const announcer = Announcer.create({
      clock,
      election,
      failureDomain: settings.failureDomain,
      configurationVersion: () => configuration.version,
      otherAddresses: () => this.listOtherAddresses(),
      send,
      onReading: () => { directory.recordListResponse() }
    })
    this.reporter = reporter
    this.announcer = announcer
    this.subscriber = subscriber
    return {
      close: async () => {
        reporter.close()
        announcer.close()
        subscriber.close()
        transport.close()
      }
    }
  }

  /** Handles a datagram of the node at `ip`. */
  private receiveMessage (ip: string, message: Message): void {
    const { directory, configurationFetcher, follower } = this
    switch (message.kind) {
      case 'full':
        this.receiveReport(ip, message.target)
        return configurationFetcher.receiveVersion(ip, message.target.failureDomain === this.settings.failureDomain, message.configurationVersion)
      case 'short':
        return directory.recordFigures(ip, message.figures, id => computeIdChecksum(id) === message.idChecksum)
      case 'subscription':
        if (this.subscribers.recordSubscription(ip)) this.reporter?.sendFullReport(ip)
        return
      case 'reader': {
        const { state, failureDomain, revision, configurationVersion } = message
        this.election.receiveNotice(ip, state, failureDomain)
        if (state === 'reading') directory.recordListResponse()
        const sameDomain = failureDomain === this.settings.failureDomain
        follower?.receiveRevision(ip, sameDomain || !this.election.hasReaderInDomain, revision)
        return configurationFetcher.receiveVersion(ip, sameDomain, configurationVersion)
      }
      case 'changes':
        return follower?.receiveChanges(ip, this.isSameDomain(ip) || !this.election.hasReaderInDomain, message)
    }
  }

  /** Announces immediately to the other nodes whether this node is a reader. */
  private announceState (): void {
    this.announcer?.announce(this.election.state)
  }

  private getRetryBudget (): RetryBudget {
    const { retryRatio: ratio, retryAllowance: allowance } = this.settings.bounds
    return { ratio, allowance, nodes: this.directory.locations.vmCount }
  }

  private listOtherAddresses (): string[] {
    return [...this.directory.locations.addresses].filter(ip => ip !== this.settings.ip)
  }

  /** Records a report. A target that was not known at that address may have to be selected. */
  private receiveReport (ip: string, report: TargetReport): void {
    const wasKnown = this.directory.hasTargetAt(ip, report.service)
    this.directory.recordReport(ip, report)
    if (!wasKnown) this.selectPeers()
  }

  /** Updates the selection of the nodes to receive reports from, and subscribes to those that were added. */
  private selectPeers (): void {
    this.selection.refresh(this.directory.locations)
    this.subscriber?.renewSubscriptions()
  }

  /** Groups addresses by whether they are in the failure domain of this node. */
  private groupByDomain (ips: readonly string[]): Subscribers {
    return { sameDomain: ips.filter(ip => this.isSameDomain(ip)), crossDomain: ips.filter(ip => !this.isSameDomain(ip)) }
  }

  private isSameDomain (ip: string): boolean {
    return this.directory.locations.getDomain(ip) === this.settings.failureDomain
  }

  private startFollower (onFailure: (error: unknown) => void): Part {
    const { store, clock, random, logger, election } = this
    const follower = Follower.create({
      store,
      clock,
      random,
      logger,
      election,
      apply: (changes, fullList) => { this.applyStoreChanges(changes, fullList) },
      onListed: revision => { this.announcer?.recordListRevision(revision) },
      announceChanges: (from, to, changes) => { this.announcer?.announceChanges(from, to, changes) },
      requestState: async address => await this.peers.readState(address),
      onFailure
    })
    this.follower = follower
    return { close: async () => { follower.close() }, dump: () => ({ inTouch: follower.isStoreReachable, reads: election.state, revision: follower.knownRevision }) }
  }

  private startProber (onFailure: (error: unknown) => void): Part {
    const { clock, random, target, configuration, settings: { upstream, service } } = this
    this.prober = Prober.create({ address: upstream, clock, random, memory: this.memory, protocol, target, healthPath: () => configuration.findService(service)?.healthPath, probesPerSecond: () => this.settings.bounds.probesPerSecond, onFailure })
    const { prober } = this
    return { close: async () => { prober.close() } }
  }

  /** Delegates to the current prober, which starts later than the target and is replaced when the supervisor restarts it. */
  private createLoadMonitor (): LoadMonitor {
    return {
      refresh: async () => { await this.prober?.refresh() },
      useShortInterval: () => { this.prober?.useShortInterval() }
    }
  }

  /** Returns the state of this node, without bodies or header values of requests. */
  dump (): unknown {
    const { settings, configuration, target, directory, supervisor } = this
    return { name: settings.name, ready: this.ready, leaving: this.drainState.leaving, version: configuration.version, target: target.describe(), directory: directory.dump(), parts: supervisor.dump() }
  }

  private registerMetrics (): void {
    const { metrics, target, configuration } = this
    metrics.register('in_flight', 'gauge', () => this.inFlightRequests.count)
    metrics.register('admission_running', 'gauge', () => target.slots.running)
    metrics.register('admission_queued', 'gauge', () => target.slots.waiting)
    metrics.register('target_rate_limit', 'gauge', () => target.rateLimit.perSecond)
    metrics.register('target_rate_limit_age_seconds', 'gauge', () => target.rateLimit.ageMs / 1_000)
    metrics.register('target_sent_in_window', 'gauge', () => target.rateLimit.sentInWindow)
    metrics.register('configuration_version', 'gauge', () => configuration.version)
  }

  /** Applies changes of the store; with `fullList` they are its complete content. */
  private applyStoreChanges (changes: readonly Change[], fullList: boolean): void {
    const { directory, configuration, logger } = this
    directory.recordListResponse()
    applyChanges(changes, fullList, { directory, configuration, logger })
    this.hasTargetList ||= fullList
    this.selectPeers()
    this.reporter?.reportChanges()
  }

  /** Returns the state that this node provides to others; undefined before it has a configuration. */
  private readState (): SharedState | undefined {
    const { active } = this.configuration
    return active === undefined ? undefined : { configuration: active, targets: this.directory.listedTargets, revision: this.follower?.knownRevision }
  }

  /** Applies the state of another node: its configuration, and its list of targets if this node has none yet. */
  private applySharedState ({ configuration, targets }: SharedState): void {
    const changes: Change[] = [{ kind: 'configuration', configuration }]
    if (!this.hasTargetList) for (const target of targets) changes.push({ kind: 'target', target })
    const { directory, logger } = this
    applyChanges(changes, false, { directory, configuration: this.configuration, logger })
    this.hasTargetList = true
    this.selectPeers()
    this.reporter?.reportChanges()
  }

  /** Refuses the waiting requests after a pause of the process, since it is not known how long they have waited. */
  private handlePause (pausedMs: number): void {
    this.logger.warn('paused', { pausedMs: Math.round(pausedMs) })
    this.target.slots.refuseQueued('expired')
  }
}

/** Creates a part that closes the server together with all its connections. */
function createServerPart (server: Server): Part {
  return {
    close: async () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

interface NodeOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
}
