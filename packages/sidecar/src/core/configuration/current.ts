import type { Random } from 'auburnturn/core/random'
import { RouteTable } from './route-table.js'
import { WeightedSplit } from './weighted-split.js'
import type { Configuration, Limits, Route, Service } from './types.js'

/** Whether an offered configuration was activated; otherwise, whether it is older than the active one or the same. */
export type OfferResult = 'taken' | 'older' | 'same'

/** Holds the active configuration. An older version never replaces a newer one. */
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

  /** Version of the active configuration, 0 before the first. */
  get version (): number {
    return this.configuration?.version ?? 0
  }

  /** Whether a configuration is active. */
  get isLoaded (): boolean {
    return this.configuration !== undefined
  }

  /** The active configuration; undefined before the first. */
  get active (): Configuration | undefined {
    return this.configuration
  }

  /** Limits of the active configuration; undefined before the first. */
  get limits (): Limits | undefined {
    return this.configuration?.limits
  }

  /** Activates `offered` if its version is higher than the active one. */
  offer (offered: Configuration): OfferResult {
    if (offered.version === this.version) return 'same'
    if (offered.version < this.version) return 'older'
    this.configuration = offered
    this.routeTable = RouteTable.create(offered.routes)
    this.splits = new Map()
    return 'taken'
  }

  /** Returns the route for a host and a path, as `RouteTable.find`. */
  findRoute (host: string, path: string): Route | undefined {
    return this.routeTable.find(host, path)
  }

  findService (name: string): Service | undefined {
    return this.configuration?.services.find(service => service.name === name)
  }

  /** Chooses the service for the next request of a route, by the weights of the route. */
  pickService (route: Route): string {
    const first = route.shares[0]
    if (route.shares.length === 1 && first !== undefined) return first.service
    const split = this.splits.get(route.name) ?? WeightedSplit.create(route.shares, this.random.fraction())
    this.splits.set(route.name, split)
    return split.next()
  }
}
