import type { Random } from 'auburnturn/core/random'
import { RouteTable } from './route-table.js'
import { WeightedSplit } from './weighted-split.js'
import type { Configuration, Limits, Route, Service } from './types.js'

/** What became of a configuration that was offered. */
export type OfferResult = 'taken' | 'older' | 'same'

/** The configuration in force; it never goes back to an older version. */
export class CurrentConfiguration {
  private readonly random: Random
  private configuration: Configuration | undefined
  private routeTable = RouteTable.create([])
  private splits = new Map<string, WeightedSplit>()

  private constructor (random: Random) {
    this.random = random
  }

  static create ({ random }: { random: Random }): CurrentConfiguration {
    return new CurrentConfiguration(random)
  }

  /** The version in force, 0 before the first one. */
  get version (): number {
    return this.configuration?.version ?? 0
  }

  get isLoaded (): boolean {
    return this.configuration !== undefined
  }

  /** The whole configuration in force. */
  get active (): Configuration | undefined {
    return this.configuration
  }

  get limits (): Limits | undefined {
    return this.configuration?.limits
  }

  /** Takes `offered` unless one as new is in force. */
  offer (offered: Configuration): OfferResult {
    if (offered.version === this.version) return 'same'
    if (offered.version < this.version) return 'older'
    this.configuration = offered
    this.routeTable = RouteTable.create(offered.routes)
    this.splits = new Map()
    return 'taken'
  }

  findRoute (host: string, path: string): Route | undefined {
    return this.routeTable.find(host, path)
  }

  findService (name: string): Service | undefined {
    return this.configuration?.services.find(service => service.name === name)
  }

  /** The service that the next request of a route goes to. */
  pickService (route: Route): string {
    const only = route.shares[0]
    if (route.shares.length === 1 && only !== undefined) return only.service
    const split = this.splits.get(route.name) ?? WeightedSplit.create(route.shares, this.random.fraction())
    this.splits.set(route.name, split)
    return split.next()
  }
}
