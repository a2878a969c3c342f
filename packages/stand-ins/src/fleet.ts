import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readShippedProfiles } from 'auburnturn'
import type { FaultSettings } from './fault-settings.js'
import { FaultControlServer } from './fault-control-server.js'
import type { FaultSetters } from './fault-control-server.js'
import { DaemonProcess } from './daemon-process.js'
import type { ProcessExit } from './daemon-process.js'
import type { Deployment } from './deployments.js'
import { createFleetNodes, ip } from './fleet-nodes.js'
import type { FleetNode } from './fleet-nodes.js'
import { PlatformService } from './platform-service.js'
import { UpstreamService } from './upstream-service.js'

/** Runs deployments on this machine: the platform and the upstreams in this process, each daemon as a child process. */
export class Fleet {
  readonly nodes: readonly FleetNode[]
  readonly daemons: DaemonProcess[] = []
  /** Temporary folder with the settings files of the daemons; removed when the fleet closes. */
  readonly folder = mkdtempSync(join(tmpdir(), 'auburnturn-'))
  private readonly options: FleetOptions
  private readonly upstreams: UpstreamService[] = []
  private platform: PlatformService | undefined
  private faultControlServer: FaultControlServer | undefined
  private closing: Promise<void> | undefined

  private constructor (options: FleetOptions) {
    this.options = options
    this.nodes = createFleetNodes(options.deployments, options.firstPort)
  }

  /** Resolves when every daemon is healthy. If one fails to start, closes everything that has started and rejects. */
  static async create (options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options)
    options.abortSignal?.addEventListener('abort', () => { fleet.close().catch(() => {}) }, { once: true })
    try {
      await fleet.start()
    } catch (error) {
      await fleet.close()
      throw error
    }
    return fleet
  }

  /** Port of the server that sets the faults of the stand-ins; 0 before it listens. */
  get faultControlPort (): number {
    return this.faultControlServer?.port ?? 0
  }

  /** The platform that the daemons follow. */
  get platformService (): PlatformService {
    if (this.platform === undefined) throw new Error('the platform is not started')
    return this.platform
  }

  /** Drains and ends the daemons, then closes the upstreams, the fault control server and the platform. */
  async close (): Promise<void> {
    this.closing ??= this.closeAll()
    await this.closing
  }

  /** Kills the daemons without a drain and removes the settings files. Synchronous, so that it works in an exit handler. */
  kill (): void {
    for (const daemon of this.daemons) daemon.sendSignal('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async start (): Promise<void> {
    const platform = await PlatformService.create()
    this.platform = platform
    for (const { member } of this.nodes) this.upstreams.push(await UpstreamService.create(member.id))
    this.faultControlServer = await FaultControlServer.create({ faultSetters: this.listFaultSetters(platform), port: this.options.faultControlPort })
    publishConfiguration(platform, this.options.deployments)
    platform.setMembers(this.nodes.map(({ member }) => member))
    this.nodes.forEach((node, index) => { this.startDaemon(node, index, platform) })
    await Promise.all(this.nodes.map(async ({ operatorPort }, index) => {
      await this.daemons[index]?.waitUntilHealthy(`http://${ip}:${operatorPort}/health`)
    }))
  }

  private listFaultSetters (platform: PlatformService): FaultSetters {
    const upstreams = this.upstreams.map((upstream): [string, (faults: FaultSettings) => Promise<void>] =>
      [upstream.name, async faults => { await upstream.setFaults(faults) }])
    return new Map([...upstreams, ['platform', async faults => { platform.setFaults(faults) }]])
  }

  private startDaemon (node: FleetNode, index: number, platform: PlatformService): void {
    if (this.closing !== undefined) return
    const settingsFile = join(this.folder, `${node.member.id}.jsonc`)
    const upstreamPort = this.upstreams[index]?.port ?? 0
    writeFileSync(settingsFile, JSON.stringify(createSettings(node, upstreamPort, platform.port), null, 2))
    const daemon = DaemonProcess.create(node.member.id, settingsFile)
    this.daemons.push(daemon)
    daemon.ended.then(exit => { if (this.closing === undefined) this.options.onUnexpectedExit?.(daemon.name, exit) }, () => {})
  }

  private async closeAll (): Promise<void> {
    await Promise.all(this.daemons.map(async daemon => { await daemon.close() }))
    await Promise.all(this.upstreams.map(async upstream => { await upstream.close() }))
    await this.faultControlServer?.close()
    await this.platform?.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

function publishConfiguration (platform: PlatformService, deployments: readonly Deployment[]): void {
  for (const [name, text] of readShippedProfiles()) platform.publish(`profile/${name}`, text)
  for (const { name, profile } of deployments.flatMap(({ services }) => services)) {
    platform.publish(`service/${name}`, JSON.stringify({ profile }))
  }
}

function createSettings ({ member, callersPort, operatorPort }: FleetNode, upstreamPort: number, platformPort: number): unknown {
  return {
    id: member.id,
    service: member.service,
    region: member.region,
    failureDomain: member.failureDomain,
    callers: { ip, port: callersPort },
    peers: { ip, port: member.peerPort },
    control: { ip, port: member.controlPort },
    operator: { ip, port: operatorPort },
    upstream: { ip, port: upstreamPort },
    platform: [{ ip, port: platformPort }],
    log: { level: 'error' }
  }
}

interface FleetOptions {
  readonly deployments: readonly Deployment[]
  /** First port of the nodes; each node takes four consecutive ports. */
  readonly firstPort: number
  /** Port of the server that sets the faults of the stand-ins. */
  readonly faultControlPort: number
  /** Called when a daemon ends before the fleet closes. */
  readonly onUnexpectedExit?: (name: string, exit: ProcessExit) => void
  /** Aborting closes the fleet, also while it starts. */
  readonly abortSignal?: AbortSignal
}
