import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readShippedProfiles } from 'auburnturn'
import { ControlService } from './control-service.js'
import { DaemonProcess } from './daemon-process.js'
import type { Exit } from './daemon-process.js'
import type { Deployment } from './deployments.js'
import { assignPlaces, ip } from './places.js'
import type { Place } from './places.js'
import { PlatformService } from './platform-service.js'
import { UpstreamService } from './upstream-service.js'

/** Deployments on this machine: the platform and the upstreams in this process, each daemon in one of its own. */
export class Fleet {
  readonly places: readonly Place[]
  readonly daemons: DaemonProcess[] = []
  /** Holds the settings files while the fleet runs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'auburnturn-'))
  private readonly options: FleetOptions
  private readonly upstreams: UpstreamService[] = []
  private platform: PlatformService | undefined
  private control: ControlService | undefined
  private closing: Promise<void> | undefined

  private constructor (options: FleetOptions) {
    this.options = options
    this.places = assignPlaces(options.deployments, options.firstPort)
  }

  /** Resolves when every daemon is healthy; closes what has started and rejects when one is not. */
  static async create (options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options)
    options.signal?.addEventListener('abort', () => { fleet.close().catch(() => {}) }, { once: true })
    try {
      await fleet.start()
    } catch (error) {
      await fleet.close()
      throw error
    }
    return fleet
  }

  /** Where the stand-ins take orders to misbehave. */
  get controlPort (): number {
    return this.control?.port ?? 0
  }

  /** Ends the daemons, then what they stand beside. */
  async close (): Promise<void> {
    this.closing ??= this.closeAll()
    await this.closing
  }

  /** Ends the daemons without waiting for their calls, and leaves no file behind. Safe while the process exits. */
  kill (): void {
    for (const daemon of this.daemons) daemon.signal('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async start (): Promise<void> {
    const platform = await PlatformService.create()
    this.platform = platform
    for (const { member } of this.places) this.upstreams.push(await UpstreamService.create(member.id))
    this.control = await ControlService.create({ upstreams: this.upstreams, port: this.options.controlPort })
    publishConfiguration(platform, this.options.deployments)
    platform.setMembers(this.places.map(({ member }) => member))
    this.places.forEach((place, index) => { this.startDaemon(place, index, platform) })
    await Promise.all(this.places.map(async ({ operatorPort }, index) => {
      await this.daemons[index]?.waitUntilHealthy(`http://${ip}:${operatorPort}/health`)
    }))
  }

  private startDaemon (place: Place, index: number, platform: PlatformService): void {
    if (this.closing !== undefined) return
    const file = join(this.folder, `${place.member.id}.jsonc`)
    const upstreamPort = this.upstreams[index]?.port ?? 0
    writeFileSync(file, JSON.stringify(createSettings(place, upstreamPort, platform.port), null, 2))
    const daemon = DaemonProcess.create(place.member.id, file)
    this.daemons.push(daemon)
    daemon.ended.then(exit => { if (this.closing === undefined) this.options.onDaemonEnd?.(daemon.name, exit) }, () => {})
  }

  private async closeAll (): Promise<void> {
    await Promise.all(this.daemons.map(async daemon => { await daemon.close() }))
    await Promise.all(this.upstreams.map(async upstream => { await upstream.close() }))
    await this.control?.close()
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

function createSettings ({ member, callersPort, operatorPort }: Place, upstreamPort: number, platformPort: number): unknown {
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
  /** Four ports a target from here on. */
  readonly firstPort: number
  /** Port of the stand-ins' own control address. */
  readonly controlPort: number
  /** Told when a daemon ends that was not asked to. */
  readonly onDaemonEnd?: (name: string, exit: Exit) => void
  /** Ends a start that is under way. */
  readonly signal?: AbortSignal
}
