import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { CurrentConfiguration } from './core/configuration/index.js'
import { Follower } from './core/following/index.js'
import type { Change } from './core/following/index.js'
import { Forwarder, Ingress, maxHeadBytes, peerIdleMs, Peers, servePeer } from './core/forwarding/index.js'
import { OwnTarget, Prober } from './core/own-target/index.js'
import { PauseWatch } from './core/pauses/index.js'
import { Datagrams, Reporter } from './core/reports/index.js'
import type { Settings } from './core/settings.js'
import { Directory } from './core/targets/index.js'
import type { ListedTarget } from './core/targets/index.js'
import { answerMarginMs, callersGoneMs, checksUntilGone, drainCheckMs, endMarginMs, lastRequestMs } from './constants.js'
import { protocol, ReadinessServer, Store } from './platform/index.js'

/** One node: everything beside one upstream. */
export class Node {
  private readonly settings: Settings
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly configuration: CurrentConfiguration
  private readonly directory: Directory
  private readonly target: OwnTarget
  private readonly peers: Peers
  private readonly ingress: Ingress
  private readonly store: Store
  private readonly closers: Array<() => unknown> = []
  private reporter: Reporter | undefined
  private listed = false
  private leaving = false
  /** No request of a caller is taken any more. */
  private closed = false
  /** Readiness checks that were answered with a refusal since the signal. */
  private missedChecks = 0
  private inFlight = 0
  private storeCalls = 0

  private constructor ({ settings, clock, random, logger }: NodeOptions) {
    const { ip, failureDomain: zone, service, upstream, listen, bounds } = settings
    this.settings = settings
    this.clock = clock
    this.logger = logger
    this.configuration = CurrentConfiguration.create({ random })
    this.directory = Directory.create({ clock })
    const { configuration, directory } = this
    this.target = OwnTarget.create({ address: upstream, service, zone, clock, logger, protocol, directory, onChange: () => { this.reporter?.tell() } })
    this.peers = Peers.create({ port: portOf(listen.nodes), clock, protocol })
    const forwarder = Forwarder.create({
      clock,
      random,
      logger,
      directory,
      own: this.target,
      peers: this.peers,
      ip,
      zone,
      retryRatio: bounds.retryRatio,
      retryAllowance: () => bounds.retryAllowance / Math.max(1, directory.ips.size)
    })
    this.ingress = Ingress.create({ clock, logger, protocol, configuration, forwarder, service, isLeaving: () => this.leaving, isClosed: () => this.closed })
    this.store = Store.create({ address: settings.store, clock, onCall: () => { this.storeCalls++ } })
    Follower.create({ source: this.store, clock, random, logger, apply: (changes, whole) => { this.apply(changes, whole) } })
  }

  /** Resolves when the node listens. */
  static async create (options: NodeOptions): Promise<Node> {
    const node = new Node(options)
    await node.listen()
    return node
  }

  /** Lets callers go elsewhere, ends what runs, and closes; resolves when the process may end. */
  async drain (): Promise<void> {
    const { clock, target } = this
    const startedAt = clock.now()
    this.leaving = true
    while (this.missedChecks < checksUntilGone && clock.now() < startedAt + callersGoneMs) await clock.sleep(drainCheckMs)
    target.close()
    // Callers that find no other node are served on for a while; calls of the own target until it has ended its work.
    await this.waitUntilIdle(startedAt + lastRequestMs)
    this.closed = true
    const endsAt = startedAt + this.settings.bounds.graceMs - endMarginMs
    await this.waitUntilIdle(endsAt - answerMarginMs)
    this.ingress.cancel()
    await this.waitUntilIdle(endsAt)
    this.logger.info('node-ended', { inFlight: this.inFlight, tookMs: Math.round(clock.now() - startedAt) })
  }

  private async waitUntilIdle (endsAt: number): Promise<void> {
    while (this.inFlight > 0 && this.clock.now() < endsAt) await this.clock.sleep(drainCheckMs)
  }

  private checkReady (): boolean {
    if (this.leaving) this.missedChecks++
    return !this.leaving && this.configuration.known && this.listed
  }

  private async listen (): Promise<void> {
    const { settings, clock, logger, directory, target, configuration } = this
    const { ip, listen, internalPorts, upstream, service } = settings
    const peerServing = { clock, protocol, target, service, maxBodyBytes: () => configuration.limits?.maxBodyBytes ?? Infinity }
    const callers = await this.serve(listen.callers, async (request, response) => { await this.ingress.serve(request, response) })
    this.configureCallers(callers)
    const nodes = await this.serve(listen.nodes, async (request, response) => { await servePeer(request, response, peerServing) })
    nodes.keepAliveTimeout = peerIdleMs
    const datagrams = await Datagrams.create({ ip, port: internalPorts[0], logger, receive: (from, report) => { directory.hear(from, report.target) } })
    this.reporter = Reporter.create({
      clock,
      describe: () => ({ target: target.describe(), configurationVersion: configuration.version }),
      receivers: () => [...directory.ips].filter(other => other !== ip),
      send: (bytes, to) => { datagrams.send(bytes, to) }
    })
    Prober.create({
      address: upstream,
      clock,
      protocol,
      target,
      healthPath: () => configuration.known ? configuration.findService(service)?.healthPath : undefined,
      onFailure: error => { logger.error('prober-failed', { error: String(error) }) }
    })
    PauseWatch.create({ clock, wallClock: Date.now, onPause: pausedMs => { this.recover(pausedMs) } })
    await ReadinessServer.create({ ip: hostOf(listen.readiness), port: portOf(listen.readiness), isReady: () => this.checkReady() })
  }

  private async serve (address: string, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Promise<Server> {
    const server = createServer({ maxHeaderSize: maxHeadBytes, noDelay: true }, (request, response) => {
      this.inFlight++
      handle(request, response)
        .catch((error: unknown) => {
          this.logger.error('request-crashed', { error: error instanceof Error ? error.stack : String(error) })
          response.destroy()
        })
        .finally(() => { this.inFlight-- })
    })
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(portOf(address), hostOf(address), resolve) })
    return server
  }

  private configureCallers (server: Server): void {
    const { configuration } = this
    server.keepAliveTimeout = 60_000
    server.on('connection', () => {
      const { limits } = configuration
      if (limits === undefined) return
      server.keepAliveTimeout = limits.idleTimeoutMs
      server.headersTimeout = limits.headerTimeoutMs
    })
  }

  private apply (changes: readonly Change[], whole: boolean): void {
    this.directory.markAnswered()
    if (whole) {
      this.directory.replace(changes.flatMap((change): ListedTarget[] => change.kind === 'target' ? [change.target] : []))
      this.listed = true
    }
    for (const change of changes) this.applyOne(change, whole)
    this.reporter?.tell()
  }

  private applyOne (change: Change, whole: boolean): void {
    const { directory, configuration, logger } = this
    switch (change.kind) {
      case 'configuration': {
        const offer = configuration.offer(change.configuration)
        logger.info('configuration-offered', { version: change.configuration.version, offer, routes: change.configuration.routes.length })
        break
      }
      case 'target':
        if (!whole) directory.put(change.target)
        logger.info('target-listed', { id: change.target.id, service: change.target.service, state: change.target.state, address: change.target.address })
        break
      case 'gone':
        directory.remove(change.id)
        logger.info('target-gone', { id: change.id })
        break
      case 'unusable':
        if (change.id !== undefined) directory.remove(change.id)
        logger.warn('entry-unusable', { key: change.key })
    }
  }

  /** After a pause nobody knows how old the waiting requests are. */
  private recover (pausedMs: number): void {
    this.logger.warn('paused', { pausedMs: Math.round(pausedMs) })
    this.target.slots.refuseWaiting()
  }
}

function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

function hostOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}

interface NodeOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
}
