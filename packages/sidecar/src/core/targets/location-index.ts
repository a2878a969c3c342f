import type { ListedTarget, TargetLocation, TargetLocations, TargetReport } from './types.js'

/** What is known of one VM. */
interface VmEntry {
  /** Ids of the listed targets there, the newest last. */
  targetIds: readonly string[]
  /** Services of the listed targets there, one for each. */
  services: readonly string[]
  listedDomain: string | undefined
  /** What the node there said of its target. */
  reported: Pick<TargetReport, 'service' | 'failureDomain'> | undefined
}

/** Finds targets by address and by service at a cost that does not grow with their number. */
export class LocationIndex implements TargetLocations {
  private readonly entries = new Map<string, VmEntry>()
  private readonly addressesByService = new Map<string, Set<string>>()
  private readonly domainSizes = new Map<string, number>()
  private changeCount = 0

  private constructor () {}

  static create (): LocationIndex {
    return new LocationIndex()
  }

  get version (): number {
    return this.changeCount
  }

  get vmCount (): number {
    return this.entries.size
  }

  get addresses (): Iterable<string> {
    return this.entries.keys()
  }

  get domainCount (): number {
    return this.domainSizes.size
  }

  get services (): Iterable<string> {
    return this.addressesByService.keys()
  }

  domainOf (ip: string): string | undefined {
    const spot = this.entries.get(ip)
    return spot?.listedDomain ?? spot?.reported?.failureDomain
  }

  /** Addresses beside which targets of a service are. */
  addressesOf (service: string): Iterable<string> {
    return this.addressesByService.get(service) ?? []
  }

  locationsOf (service: string): TargetLocation[] {
    return [...this.addressesOf(service)].map(ip => ({ ip, service, failureDomain: this.domainOf(ip) ?? '' }))
  }

  has (ip: string, service: string): boolean {
    return this.addressesByService.get(service)?.has(ip) === true
  }

  /** Ids of the listed targets at an address, the newest last. */
  listedIdsAt (ip: string): readonly string[] {
    return this.entries.get(ip)?.targetIds ?? []
  }

  addListed ({ id, ip, service, failureDomain }: ListedTarget): void {
    this.update(ip, spot => {
      spot.targetIds = [...spot.targetIds, id]
      spot.services = [...spot.services, service]
      spot.listedDomain = failureDomain
    })
  }

  removeListed ({ id, ip }: ListedTarget): void {
    this.update(ip, spot => {
      const at = spot.targetIds.indexOf(id)
      spot.targetIds = spot.targetIds.filter((_id, index) => index !== at)
      spot.services = spot.services.filter((_service, index) => index !== at)
      if (spot.targetIds.length === 0) spot.listedDomain = undefined
    })
  }

  /** Takes the word of the node at `ip`. */
  recordReport (ip: string, { service, failureDomain }: TargetReport): void {
    this.update(ip, spot => { spot.reported = { service, failureDomain } })
  }

  /** The node at `ip` has been silent for long. */
  removeReport (ip: string): void {
    this.update(ip, spot => { spot.reported = undefined })
  }

  private update (ip: string, action: (spot: VmEntry) => void): void {
    const spot = this.entries.get(ip) ?? { targetIds: [], services: [], listedDomain: undefined, reported: undefined }
    const before = servicesOf(spot)
    const domain = this.domainOf(ip)
    action(spot)
    if (spot.targetIds.length === 0 && spot.reported === undefined) this.entries.delete(ip)
    else this.entries.set(ip, spot)
    this.updateServices(ip, before, servicesOf(spot))
    this.updateDomainSizes(domain, this.domainOf(ip))
  }

  private updateServices (ip: string, before: ReadonlySet<string>, after: ReadonlySet<string>): void {
    for (const service of before) {
      if (after.has(service)) continue
      const members = this.addressesByService.get(service)
      members?.delete(ip)
      if (members?.size === 0) this.addressesByService.delete(service)
      this.changeCount++
    }
    for (const service of after) {
      if (before.has(service)) continue
      const members = this.addressesByService.get(service) ?? new Set()
      this.addressesByService.set(service, members.add(ip))
      this.changeCount++
    }
  }

  private updateDomainSizes (before: string | undefined, after: string | undefined): void {
    if (before === after) return
    this.changeCount++
    if (after !== undefined) this.domainSizes.set(after, (this.domainSizes.get(after) ?? 0) + 1)
    if (before === undefined) return
    const left = (this.domainSizes.get(before) ?? 1) - 1
    if (left > 0) this.domainSizes.set(before, left)
    else this.domainSizes.delete(before)
  }
}

function servicesOf ({ services, reported: heard }: VmEntry): ReadonlySet<string> {
  return new Set(heard === undefined || heard.service === '' ? services : [...services, heard.service])
}
