import { PlatformService } from '@auburnturn/stand-ins'
import { Clock, Logger, Node, Random, settingsSchema } from 'auburnturn'
import type { Entry, Member } from 'auburnturn'
import { subscribe } from 'auburnturn/core/clock'
import { setTimeout as sleep } from 'node:timers/promises'
import { Caller } from './caller.js'
import { TcpProxy } from './tcp-proxy.js'
import { recordMeasuring } from './measuring-recorder.js'
import { HistoryRecorder } from './history-recorder.js'
import { FakeUpstream } from './fake-upstream.js'
import type { ExecutionPointListener } from './fake-upstream.js'

/**
 * Number of loopback addresses that clusters use in turn. Each cluster has its own address, so that a port released by one
 * is not reused by another.
 */
const loopbackAddressCount = 60_000
let clusterCount = 0

function allocateAddress (): string {
  const number = clusterCount++ % loopbackAddressCount + 256
  return `127.1.${number >> 8}.${number & 255}`
}

/** Longest wait for the nodes of a cluster to close, in milliseconds. */
const closeTimeoutMs = 4_000

/** How long a leaving target may still receive new work in the matrix, in milliseconds. */
export const newWorkMs = 150

function formatProfile (callMs: number): string {
  return `{
  "timeouts": { "callMs": ${callMs}, "queueMs": ${callMs}, "connectMs": ${callMs} },
  "retry": { "attempts": 3, "share": 1 },
  "admission": { "slots": 3, "queue": 6, "localBelow": 0 },
  "drain": { "newWorkMs": ${newWorkMs} },
  "measuring": { "messagesPerSecond": 5, "bytesPerSecond": 1500 }
}`
}

/** A target with its node, its upstream and the proxies in front of them. */
export interface TargetFixture {
  readonly id: string
  readonly node: Node
  readonly upstream: FakeUpstream
  readonly upstreamProxy: TcpProxy
  readonly peerProxy: TcpProxy
  readonly controlProxy: TcpProxy
}

/** Callbacks for the traffic and the executions of a cluster. */
export interface ClusterObserver {
  readonly onConnection: (target: string) => void
  readonly onUpstreamConnection: (target: string) => void
  readonly onRequestData: (target: string, text: string) => void
  readonly onResponseData: (target: string, text: string) => void
  readonly onExecutionPoint: ExecutionPointListener
}

/** A service of a few targets with real nodes; the network, the upstreams and the platform are fakes. */
export class TestCluster {
  readonly recorder = HistoryRecorder.create()
  readonly caller = Caller.create(this.recorder)
  readonly targets: TargetFixture[] = []
  /** The platform to which all changes are published. */
  readonly platform: PlatformService
  /** A platform that holds only the entries published before the targets were added. */
  readonly olderPlatform: PlatformService
  private publicationCount = 0
  readonly platformProxy: TcpProxy
  readonly ip: string
  /** Timeout of every call, in milliseconds. */
  readonly callMs: number
  private readonly clock = Clock.create()
  private readonly cleanups: Array<() => void> = []
  private readonly shutdowns = new Map<string, Promise<void>>()
  private readonly observer: ClusterObserver

  private constructor (platform: PlatformService, olderPlatform: PlatformService, platformProxy: TcpProxy, ip: string, callMs: number, observer: ClusterObserver) {
    this.platform = platform
    this.olderPlatform = olderPlatform
    this.platformProxy = platformProxy
    this.ip = ip
    this.callMs = callMs
    this.observer = observer
  }

  /** Starts a cluster with `size` targets of the service `orders`; `seed` is for the nodes' random generators. */
  static async create ({ size, seed, callMs }: { size: number, seed: number, callMs: number }, observer: ClusterObserver): Promise<TestCluster> {
    const [platform, olderPlatform] = await Promise.all([PlatformService.create(), PlatformService.create()])
    const ip = allocateAddress()
    const cluster = new TestCluster(platform, olderPlatform, await TcpProxy.create('127.0.0.1', platform.port), ip, callMs, observer)
    cluster.publish()
    await Promise.all(Array.from({ length: size }, async (_, index) => { await cluster.addTarget(index, seed) }))
    cluster.targets.sort((one, other) => one.id < other.id ? -1 : 1)
    cluster.publishMembers(cluster.members)
    return cluster
  }

  get members (): Member[] {
    return this.targets.map(({ id, peerProxy, controlProxy }) => ({
      id, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: this.ip, peerPort: peerProxy.port, controlPort: controlProxy.port, state: 'live'
    }))
  }

  /** Returns the target with an id, which must exist. */
  findTarget (id: string): TargetFixture {
    return this.targets.find(target => target.id === id) as TargetFixture
  }

  /** The newest profile published on `platform`, with its version. */
  get newestProfile (): Entry {
    // Each publication consists of two entries, each with its own version: the profile, then the service.
    return { key: 'profile/matrix', version: 2 * this.publicationCount - 1, text: formatProfile(this.callMs) }
  }

  /** Publishes the profile and the service again on `platform`, and on `olderPlatform` too while there is no target. */
  publish (): void {
    this.publicationCount++
    for (const service of this.targets.length === 0 ? [this.platform, this.olderPlatform] : [this.platform]) {
      service.publish('profile/matrix', formatProfile(this.callMs))
      service.publish('service/orders', '{ "profile": "matrix" }')
    }
  }

  /** Publishes a member list, which every node accepts immediately. */
  publishMembers (members: readonly Member[]): void {
    this.platform.setMembers(members)
    const version = 1_000 + this.recorder.events.length
    for (const { node } of this.targets) node.directory.accept({ service: 'orders', version, members })
  }

  /** Shuts a node down as the daemon does on SIGTERM: it refuses new work immediately and closes after the drain. */
  shutDown (id: string): void {
    if (this.shutdowns.has(id)) return
    this.recorder.add({ kind: 'leave-seen', target: id, newWorkMs })
    this.recorder.add({ kind: 'shutdown-started', target: id })
    const { node } = this.findTarget(id)
    this.shutdowns.set(id, node.drain().then(async () => { await node.close() }))
  }

  /** Closes everything; resolves to false if a node did not close within `closeTimeoutMs`. */
  async close (): Promise<boolean> {
    for (const { upstreamProxy, peerProxy, controlProxy } of this.targets) {
      for (const proxy of [upstreamProxy, peerProxy, controlProxy]) proxy.releaseTraffic()
    }
    await this.caller.close()
    for (const cleanup of this.cleanups) cleanup()
    const nodes = Promise.all(this.targets.map(async ({ id, node }) => { await (this.shutdowns.get(id) ?? node.close()) }))
    const closed = await Promise.race([nodes.then(() => true), sleep(closeTimeoutMs, false, { ref: false })])
    await Promise.all(this.targets.flatMap(({ upstream, upstreamProxy, peerProxy, controlProxy }) =>
      [upstream, upstreamProxy, peerProxy, controlProxy].map(async resource => { await resource.close() })))
    await Promise.all([this.platformProxy.close(), this.platform.close(), this.olderPlatform.close()])
    return closed
  }

  /** Records that a node sends work to the upstream of `target` if `text` has the head of a request. */
  private recordForwardedRequest (target: string, text: string): void {
    const sending = /\r\nx-sending: ([^\r]+)/i.exec(text)?.[1]
    if (sending !== undefined) this.recorder.add({ kind: 'work-sent', sending, target })
    this.observer.onRequestData(target, text)
  }

  /** Starts a target with proxies in front of its upstream, its peer port and its control port. */
  private async addTarget (index: number, seed: number): Promise<void> {
    const id = `orders-${index + 1}`
    const observer = {
      onConnection: () => { this.observer.onConnection(id) },
      onRequestData: (text: string) => { this.observer.onRequestData(id, text) },
      onResponseData: (text: string) => { this.observer.onResponseData(id, text) }
    }
    const upstream = await FakeUpstream.create(this.ip, id, this.recorder, this.observer.onExecutionPoint)
    const upstreamProxy = await TcpProxy.create(this.ip, upstream.port, {
      ...observer,
      onConnection: () => {
        this.observer.onUpstreamConnection(id)
        this.observer.onConnection(id)
      },
      onRequestData: text => { this.recordForwardedRequest(id, text) }
    })
    const node = await createNode(id, this.ip, upstreamProxy.port, this.platformProxy.port, seed + index)
    const [peerProxy, controlProxy] = await Promise.all([TcpProxy.create(this.ip, node.peersPort, observer), TcpProxy.create(this.ip, node.controlPort)])
    this.targets.push({ id, node, upstream, upstreamProxy, peerProxy, controlProxy })
    this.cleanups.push(recordMeasuring(id, node, this.recorder), subscribe(this.clock, node.store.changes, ({ key, version }) => {
      this.recorder.add({ kind: 'configuration-in-force', node: id, key, version })
    }, () => {}))
    node.store.accept({ key: 'profile/matrix', version: 1, text: formatProfile(this.callMs) }, 'platform')
    node.store.accept({ key: 'service/orders', version: 2, text: '{ "profile": "matrix" }' }, 'platform')
  }
}

async function createNode (id: string, ip: string, upstreamPort: number, platformPort: number, seed: number): Promise<Node> {
  const freeAddress = { ip, port: 0 }
  const settings = settingsSchema.parse({
    id,
    service: 'orders',
    region: 'kochi',
    failureDomain: 'kochi-a',
    callers: freeAddress,
    peers: freeAddress,
    control: freeAddress,
    operator: freeAddress,
    upstream: { ip, port: upstreamPort },
    platform: [{ ip: '127.0.0.1', port: platformPort }]
  })
  return await Node.create(settings, { logger: Logger.createSilent(), random: Random.create(seed) })
}
