import { crc32 } from 'node:zlib'
import type { Clock } from 'auburnturn/core/clock'
import { crossDomainPeers, maxWideningFactor, minPeers, sameDomainPeers, widenIntervalMs, wideningDurationMs } from './constants.js'
import type { TargetLocation, TargetLocations } from './types.js'

/** A temporary increase of the number of nodes selected for one service. */
interface Widening {
  readonly factor: number
  readonly widenedAt: number
}

/** The nodes selected for one service, and the widening factor in effect at the selection. */
interface SelectedPeers {
  readonly factor: number
  readonly ips: readonly string[]
}

/**
 * Selects the nodes that this node sends requests to and therefore subscribes to: for each service some of the own
 * failure domain and a few of others, temporarily more if those do not suffice. The number of reports that a node
 * receives thus depends on what it sends, and not on the size of the deployment. The nodes are ranked by a hash of both
 * addresses, so that each node selects different ones, and the same ones every time.
 */
export class PeerSelection {
  private readonly options: PeerSelectionOptions
  private readonly widenings = new Map<string, Widening>()
  private readonly selected = new Map<string, SelectedPeers>()
  private version = -1

  private constructor (options: PeerSelectionOptions) {
    this.options = options
  }

  static create (options: PeerSelectionOptions): PeerSelection {
    return new PeerSelection(options)
  }

  /** Addresses of the nodes selected for any service. */
  get addresses (): ReadonlySet<string> {
    return new Set([...this.selected.values()].flatMap(({ ips }) => ips))
  }

  /** Addresses of the nodes selected for one service. */
  getServiceAddresses (service: string): readonly string[] {
    return this.selected.get(service)?.ips ?? []
  }

  /** Repeats the selection for each service, if the known locations or the widening factor of the service have changed. */
  refresh (locations: TargetLocations): void {
    const unchanged = locations.version === this.version
    this.version = locations.version
    const services = new Set(locations.services)
    for (const service of this.selected.keys()) if (!services.has(service)) this.selected.delete(service)
    for (const service of services) {
      const factor = this.getCurrentFactor(service)
      if (unchanged && this.selected.get(service)?.factor === factor) continue
      this.selected.set(service, { factor, ips: this.selectAddresses(locations.getServiceLocations(service), factor) })
    }
  }

  /**
   * Doubles the number of nodes that the next refresh selects for a service whose selected targets do not suffice.
   * Returns false if the last widening step was less than `widenIntervalMs` ago, or the maximum had been reached.
   */
  widen (service: string): boolean {
    const now = this.options.clock.now()
    const widening = this.widenings.get(service)
    const factor = this.getCurrentFactor(service)
    if (widening !== undefined && now - widening.widenedAt < widenIntervalMs) return false
    this.widenings.set(service, { factor: Math.min(maxWideningFactor, factor * 2), widenedAt: now })
    return factor < maxWideningFactor
  }

  private getCurrentFactor (service: string): number {
    const widening = this.widenings.get(service)
    if (widening === undefined || this.options.clock.now() - widening.widenedAt > wideningDurationMs) return 1
    return widening.factor
  }

  private selectAddresses (locations: readonly TargetLocation[], factor: number): string[] {
    const { ip, failureDomain } = this.options
    const ranked = locations.filter(location => location.ip !== ip)
      .map(location => ({ location, rank: crc32(`${ip} ${location.ip}`) }))
      .sort((one, other) => one.rank - other.rank)
      .map(({ location }) => location)
    const sameDomain = ranked.filter(location => location.failureDomain === failureDomain).slice(0, sameDomainPeers * factor)
    const crossDomainCount = Math.max(crossDomainPeers, minPeers - sameDomain.length) * factor
    const crossDomain = ranked.filter(location => location.failureDomain !== failureDomain).slice(0, crossDomainCount)
    return [...sameDomain, ...crossDomain].map(location => location.ip)
  }
}

interface PeerSelectionOptions {
  readonly clock: Clock
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
}
