import type { ListedTarget, Place, Places, TargetReport } from './types.js'

/** What is known of one VM. */
interface Spot {
  /** Ids of the listed targets there, the newest last. */
  ids: readonly string[]
  /** Services of the listed targets there, one for each. */
  services: readonly string[]
  listedDomain: string | undefined
  /** What the node there said of its target. */
  heard: Pick<TargetReport, 'service' | 'failureDomain'> | undefined
}

/** Finds targets by address and by service at a cost that does not grow with their number. */
export class PlaceIndex implements Places {
  private readonly spots = new Map<string, Spot>()
  private readonly byService = new Map<string, Set<string>>()
  private readonly domainSizes = new Map<string, number>()
  private changes = 0

  private constructor () {}

  static create (): PlaceIndex {
    return new PlaceIndex()
  }

  get version (): number {
    return this.changes
  }

  get size (): number {
    return this.spots.size
  }

  get addresses (): Iterable<string> {
    return this.spots.keys()
  }

  get domainCount (): number {
    return this.domainSizes.size
  }

  get services (): Iterable<string> {
    return this.byService.keys()
  }

  domainOf (ip: string): string | undefined {
    const spot = this.spots.get(ip)
    return spot?.listedDomain ?? spot?.heard?.failureDomain
  }

  /** Addresses beside which targets of a service are. */
  of (service: string): Iterable<string> {
    return this.byService.get(service) ?? []
  }

  placesOf (service: string): Place[] {
    return [...this.of(service)].map(ip => ({ ip, service, failureDomain: this.domainOf(ip) ?? '' }))
  }

  has (ip: string, service: string): boolean {
    return this.byService.get(service)?.has(ip) === true
  }

  /** Ids of the listed targets at an address, the newest last. */
  listedAt (ip: string): readonly string[] {
    return this.spots.get(ip)?.ids ?? []
  }

  addListed ({ id, ip, service, failureDomain }: ListedTarget): void {
    this.change(ip, spot => {
      spot.ids = [...spot.ids, id]
      spot.services = [...spot.services, service]
      spot.listedDomain = failureDomain
    })
  }

  removeListed ({ id, ip }: ListedTarget): void {
    this.change(ip, spot => {
      const at = spot.ids.indexOf(id)
      spot.ids = spot.ids.filter((_id, index) => index !== at)
      spot.services = spot.services.filter((_service, index) => index !== at)
      if (spot.ids.length === 0) spot.listedDomain = undefined
    })
  }

  /** Takes the word of the node at `ip`. */
  hear (ip: string, { service, failureDomain }: TargetReport): void {
    this.change(ip, spot => { spot.heard = { service, failureDomain } })
  }

  /** The node at `ip` has been silent for long. */
  forget (ip: string): void {
    this.change(ip, spot => { spot.heard = undefined })
  }

  private change (ip: string, action: (spot: Spot) => void): void {
    const spot = this.spots.get(ip) ?? { ids: [], services: [], listedDomain: undefined, heard: undefined }
    const before = servicesOf(spot)
    const domain = this.domainOf(ip)
    action(spot)
    if (spot.ids.length === 0 && spot.heard === undefined) this.spots.delete(ip)
    else this.spots.set(ip, spot)
    this.move(ip, before, servicesOf(spot))
    this.countDomain(domain, this.domainOf(ip))
  }

  private move (ip: string, before: ReadonlySet<string>, after: ReadonlySet<string>): void {
    for (const service of before) {
      if (after.has(service)) continue
      const members = this.byService.get(service)
      members?.delete(ip)
      if (members?.size === 0) this.byService.delete(service)
      this.changes++
    }
    for (const service of after) {
      if (before.has(service)) continue
      const members = this.byService.get(service) ?? new Set()
      this.byService.set(service, members.add(ip))
      this.changes++
    }
  }

  private countDomain (before: string | undefined, after: string | undefined): void {
    if (before === after) return
    this.changes++
    if (after !== undefined) this.domainSizes.set(after, (this.domainSizes.get(after) ?? 0) + 1)
    if (before === undefined) return
    const left = (this.domainSizes.get(before) ?? 1) - 1
    if (left > 0) this.domainSizes.set(before, left)
    else this.domainSizes.delete(before)
  }
}

function servicesOf ({ services, heard }: Spot): ReadonlySet<string> {
  return new Set(heard === undefined || heard.service === '' ? services : [...services, heard.service])
}
