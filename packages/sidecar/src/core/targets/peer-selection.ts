import { crc32 } from 'node:zlib'
import type { Clock } from 'auburnturn/core/clock'
import { crossDomainPeers, minPeers, maxWideningFactor, sameDomainPeers, widenIntervalMs, wideningDurationMs } from './constants.js'
import type { TargetLocation, TargetLocations } from './types.js'

/** How much more than usual is listened to for one service. */
interface Widening {
  readonly factor: number
  readonly widenedAt: number
}

/** The nodes that were chosen for one service. */
interface SelectedPeers {
  readonly factor: number
  readonly ips: readonly string[]
}

/**
 * Chooses the nodes that this one sends work to, and so listens to: of each service some in the own failure domain
 * and a few elsewhere, more of them for a while when those do not suffice. What a node hears thus follows from what
 * it sends, not from how many nodes there are; by a hash, each node chooses others, and the same ones every time.
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

  /** Addresses of the nodes that were chosen. */
  get addresses (): ReadonlySet<string> {
    return new Set([...this.selected.values()].flatMap(({ ips }) => ips))
  }

  /** Addresses of the nodes that were chosen for a service. */
  addressesOf (service: string): readonly string[] {
    return this.selected.get(service)?.ips ?? []
  }

  /** Chooses anew among all nodes that are known, where they or the number that is wanted have changed. */
  refresh (places: TargetLocations): void {
    const same = places.version === this.version
    this.version = places.version
    const services = new Set(places.services)
    for (const service of this.selected.keys()) if (!services.has(service)) this.selected.delete(service)
    for (const service of services) {
      const factor = this.currentFactor(service)
      if (same && this.selected.get(service)?.factor === factor) continue
      this.selected.set(service, { factor, ips: this.selectAddresses(places.locationsOf(service), factor) })
    }
  }

  /** The chosen targets of a service do not suffice: listens to twice as many; false when that was done just now. */
  widen (service: string): boolean {
    const now = this.options.clock.now()
    const width = this.widenings.get(service)
    const factor = this.currentFactor(service)
    if (width !== undefined && now - width.widenedAt < widenIntervalMs) return false
    this.widenings.set(service, { factor: Math.min(maxWideningFactor, factor * 2), widenedAt: now })
    return factor < maxWideningFactor
  }

  private currentFactor (service: string): number {
    const width = this.widenings.get(service)
    if (width === undefined || this.options.clock.now() - width.widenedAt > wideningDurationMs) return 1
    return width.factor
  }

  private selectAddresses (members: readonly TargetLocation[], factor: number): string[] {
    const { ip, failureDomain } = this.options
    const ranked = members.filter(place => place.ip !== ip)
      .map(place => ({ place, rank: crc32(`${ip} ${place.ip}`) }))
      .sort((one, other) => one.rank - other.rank)
      .map(({ place }) => place)
    const near = ranked.filter(place => place.failureDomain === failureDomain).slice(0, sameDomainPeers * factor)
    const farCount = Math.max(crossDomainPeers, minPeers - near.length) * factor
    const far = ranked.filter(place => place.failureDomain !== failureDomain).slice(0, farCount)
    return [...near, ...far].map(place => place.ip)
  }
}

interface PeerSelectionOptions {
  readonly clock: Clock
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
}
