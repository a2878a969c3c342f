import { crc32 } from 'node:zlib'
import type { Clock } from 'auburnturn/core/clock'
import { farPlaces, leastPlaces, maxWidth, nearPlaces, widenEveryMs, widenedMs } from './constants.js'
import type { Place, Places } from './types.js'

/** How much more than usual is listened to for one service. */
interface Width {
  readonly factor: number
  readonly at: number
}

/** The nodes that were chosen for one service. */
interface Chosen {
  readonly factor: number
  readonly ips: readonly string[]
}

/**
 * Chooses the nodes that this one sends work to, and so listens to: of each service some in the own failure domain
 * and a few elsewhere, more of them for a while when those do not suffice. What a node hears thus follows from what
 * it sends, not from how many nodes there are; by a hash, each node chooses others, and the same ones every time.
 */
export class Selection {
  private readonly options: SelectionOptions
  private readonly widths = new Map<string, Width>()
  private readonly chosen = new Map<string, Chosen>()
  private version = -1

  private constructor (options: SelectionOptions) {
    this.options = options
  }

  static create (options: SelectionOptions): Selection {
    return new Selection(options)
  }

  /** Addresses of the nodes that were chosen. */
  get addresses (): ReadonlySet<string> {
    return new Set([...this.chosen.values()].flatMap(({ ips }) => ips))
  }

  /** Addresses of the nodes that were chosen for a service. */
  of (service: string): readonly string[] {
    return this.chosen.get(service)?.ips ?? []
  }

  /** Chooses anew among all nodes that are known, where they or the number that is wanted have changed. */
  refresh (places: Places): void {
    const same = places.version === this.version
    this.version = places.version
    const services = new Set(places.services)
    for (const service of this.chosen.keys()) if (!services.has(service)) this.chosen.delete(service)
    for (const service of services) {
      const factor = this.readFactor(service)
      if (same && this.chosen.get(service)?.factor === factor) continue
      this.chosen.set(service, { factor, ips: this.chooseOf(places.placesOf(service), factor) })
    }
  }

  /** The chosen targets of a service do not suffice: listens to twice as many; false when that was done just now. */
  widen (service: string): boolean {
    const now = this.options.clock.now()
    const width = this.widths.get(service)
    const factor = this.readFactor(service)
    if (width !== undefined && now - width.at < widenEveryMs) return false
    this.widths.set(service, { factor: Math.min(maxWidth, factor * 2), at: now })
    return factor < maxWidth
  }

  private readFactor (service: string): number {
    const width = this.widths.get(service)
    if (width === undefined || this.options.clock.now() - width.at > widenedMs) return 1
    return width.factor
  }

  private chooseOf (members: readonly Place[], factor: number): string[] {
    const { ip, failureDomain } = this.options
    const ranked = members.filter(place => place.ip !== ip)
      .map(place => ({ place, rank: crc32(`${ip} ${place.ip}`) }))
      .sort((one, other) => one.rank - other.rank)
      .map(({ place }) => place)
    const near = ranked.filter(place => place.failureDomain === failureDomain).slice(0, nearPlaces * factor)
    const farCount = Math.max(farPlaces, leastPlaces - near.length) * factor
    const far = ranked.filter(place => place.failureDomain !== failureDomain).slice(0, farCount)
    return [...near, ...far].map(place => place.ip)
  }
}

interface SelectionOptions {
  readonly clock: Clock
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
}
