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
import { assignNodeLocations, loopbackIp } from './node-locations.js'
import type { NodeLocation } from './node-locations.js'
import { PlatformService } from './platform-service.js'
import { UpstreamService } from './upstream-service.js'

/** Deployments on this machine: the platform and the upstreams in this process, each daemon in one of its own. */
export class Fleet {
  readonly nodeLocations: readonly NodeLocation[]
  readonly daemons: DaemonProcess[] = []
  /** Holds the settings files while the fleet runs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'auburnturn-'))
  private readonly options: FleetOptions
  private readonly upstreams: UpstreamService[] = []
  private platform: PlatformService | undefined
  private faultControlServer: FaultControlServer | undefined
  private closing: Promise<void> | undefined

  private constructor (options: FleetOptions) {
    this.options = options
    this.nodeLocations = assignNodeLocations(options.deployments, options.firstPort)
  }

  /** Resolves when every daemon is healthy; closes what has started and rejects when one is not. */
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

  /** Where the stand-ins take orders to misbehave. */
  get faultControlPort (): number {
    return this.faultControlServer?.port ?? 0
  }

  /** Ends the daemons, then what they stand beside. */
  async close (): Promise<void> {
    this.closing ??= this.closeAll()
    await this.closing
  }

  /** Ends the daemons without waiting for their calls, and leaves no file behind. Safe while the process exits. */
  kill (): void {
    for (const daemon of this.daemons) daemon.sendSignal('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async start (): Promise<void> {
    const platform = await PlatformService.create()
    this.platform = platform
    for (const { member } of this.nodeLocations) this.upstreams.push(await UpstreamService.create(member.id))
    this.faultControlServer = await FaultControlServer.create({ standIns: this.listFaultSetters(platform), port: this.options.faultControlPort })
    publishConfiguration(platform, this.options.deployments)
    platform.setMembers(this.nodeLocations.map(({ member }) => member))
    this.nodeLocations.forEach((place, index) => { this.startDaemon(place, index, platform) })
    await Promise.all(this.nodeLocations.map(async ({ operatorPort }, index) => {
      await this.daemons[index]?.waitUntilHealthy(`http://${loopbackIp}:${operatorPort}/health`)
    }))
  }

  private listFaultSetters (platform: PlatformService): FaultSetters {
    const upstreams = this.upstreams.map((upstream): [string, (behaviour: FaultSettings) => Promise<void>] =>
      [upstream.name, async behaviour => { await upstream.setFaults(behaviour) }])
    return new Map([...upstreams, ['platform', async behaviour => { platform.setFaults(behaviour) }]])
  }

  private startDaemon (place: NodeLocation, index: number, platform: PlatformService): void {
    if (this.closing !== undefined) return
    const file = join(this.folder, `${place.member.id}.jsonc`)
    const upstreamPort = this.upstreams[index]?.port ?? 0
    writeFileSync(file, JSON.stringify(createSettings(place, upstreamPort, platform.port), null, 2))
    const daemon = DaemonProcess.create(place.member.id, file)
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

function createSettings ({ member, callersPort, operatorPort }: NodeLocation, upstreamPort: number, platformPort: number): unknown {
  return {
    id: member.id,
    service: member.service,
    region: member.region,
    failureDomain: member.failureDomain,
    callers: { ip: loopbackIp, port: callersPort },
    peers: { ip: loopbackIp, port: member.peerPort },
    control: { ip: loopbackIp, port: member.controlPort },
    operator: { ip: loopbackIp, port: operatorPort },
    upstream: { ip: loopbackIp, port: upstreamPort },
    platform: [{ ip: loopbackIp, port: platformPort }],
    log: { level: 'error' }
  }
}

interface FleetOptions {
  readonly deployments: readonly Deployment[]
  /** Four ports a target from here on. */
  readonly firstPort: number
  /** Port of the stand-ins' own control address. */
  readonly faultControlPort: number
  /** Told when a daemon ends that was not asked to. */
  readonly onUnexpectedExit?: (name: string, exit: ProcessExit) => void
  /** Ends a start that is under way. */
  readonly abortSignal?: AbortSignal
}
