import type { ListedTarget, TargetLocation, TargetLocations, TargetReport } from './types.js'

/** The listed and reported targets of one VM. */
interface VmEntry {
  /** Ids of the listed targets, the newest last. */
  targetIds: readonly string[]
  /** Services of the listed targets, in the order of `targetIds`. */
  services: readonly string[]
  /** Failure domain of the VM according to the list. */
  listedDomain: string | undefined
  /** Service and failure domain from the last report of the node. */
  reported: Pick<TargetReport, 'service' | 'failureDomain'> | undefined
}

/** Indexes targets by address and by service, so that the cost of a look-up does not grow with their number. */
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

  getDomain (ip: string): string | undefined {
    const entry = this.entries.get(ip)
    return entry?.listedDomain ?? entry?.reported?.failureDomain
  }

  /** Addresses of the VMs that have targets of a service. */
  getServiceAddresses (service: string): Iterable<string> {
    return this.addressesByService.get(service) ?? []
  }

  getServiceLocations (service: string): TargetLocation[] {
    return [...this.getServiceAddresses(service)].map(ip => ({ ip, service, failureDomain: this.getDomain(ip) ?? '' }))
  }

  has (ip: string, service: string): boolean {
    return this.addressesByService.get(service)?.has(ip) === true
  }

  /** Returns the ids of the listed targets at an address, the newest last. */
  getListedIds (ip: string): readonly string[] {
    return this.entries.get(ip)?.targetIds ?? []
  }

  addListed ({ id, ip, service, failureDomain }: ListedTarget): void {
    this.update(ip, entry => {
      entry.targetIds = [...entry.targetIds, id]
      entry.services = [...entry.services, service]
      entry.listedDomain = failureDomain
    })
  }

  removeListed ({ id, ip }: ListedTarget): void {
    this.update(ip, entry => {
      const position = entry.targetIds.indexOf(id)
      entry.targetIds = entry.targetIds.filter((_id, index) => index !== position)
      entry.services = entry.services.filter((_service, index) => index !== position)
      if (entry.targetIds.length === 0) entry.listedDomain = undefined
    })
  }

  /** Replaces the service and failure domain reported by the node at `ip`. */
  recordReport (ip: string, { service, failureDomain }: TargetReport): void {
    this.update(ip, entry => { entry.reported = { service, failureDomain } })
  }

  /** Removes the report of a node that has been unresponsive for a long time. */
  removeReport (ip: string): void {
    this.update(ip, entry => { entry.reported = undefined })
  }

  /** Applies a change to the entry of a VM and updates the indexes by service and by failure domain. */
  private update (ip: string, change: (entry: VmEntry) => void): void {
    const entry = this.entries.get(ip) ?? { targetIds: [], services: [], listedDomain: undefined, reported: undefined }
    const servicesBefore = collectServices(entry)
    const domainBefore = this.getDomain(ip)
    change(entry)
    if (entry.targetIds.length === 0 && entry.reported === undefined) this.entries.delete(ip)
    else this.entries.set(ip, entry)
    this.updateServices(ip, servicesBefore, collectServices(entry))
    this.updateDomainSizes(domainBefore, this.getDomain(ip))
  }

  private updateServices (ip: string, before: ReadonlySet<string>, after: ReadonlySet<string>): void {
    for (const service of before) {
      if (after.has(service)) continue
      const addresses = this.addressesByService.get(service)
      addresses?.delete(ip)
      if (addresses?.size === 0) this.addressesByService.delete(service)
      this.changeCount++
    }
    for (const service of after) {
      if (before.has(service)) continue
      const addresses = this.addressesByService.get(service) ?? new Set()
      this.addressesByService.set(service, addresses.add(ip))
      this.changeCount++
    }
  }

  private updateDomainSizes (before: string | undefined, after: string | undefined): void {
    if (before === after) return
    this.changeCount++
    if (after !== undefined) this.domainSizes.set(after, (this.domainSizes.get(after) ?? 0) + 1)
    if (before === undefined) return
    const remaining = (this.domainSizes.get(before) ?? 1) - 1
    if (remaining > 0) this.domainSizes.set(before, remaining)
    else this.domainSizes.delete(before)
  }
}

function collectServices ({ services, reported }: VmEntry): ReadonlySet<string> {
  return new Set(reported === undefined || reported.service === '' ? services : [...services, reported.service])
}
