import type { Child } from './child.js'
import { maxAttempts, ports, routeTimeoutMs } from './constants.js'
import type { Place } from './places.js'
import { now } from './processes/messages.js'
import type { ToStore } from './processes/messages.js'
import type { Acknowledged, Leaving } from './types.js'

/** What happens once the store has taken a change. */
type Acknowledge = (at: number) => void

/** Writes the entries of targets and the configurations to the store, and notes when it has taken them. */
export class Operator {
  readonly configurations: Acknowledged[] = []
  readonly leavings: Leaving[] = []
  private readonly store: Child
  private readonly awaited = new Map<number, Acknowledge>()
  private orders = 0
  private version = 0

  private constructor (store: Child) {
    this.store = store
  }

  static create (store: Child): Operator {
    return new Operator(store)
  }

  list (id: string, place: Place): void {
    this.send({ kind: 'put', order: 0, key: `servers/${id}`, value: describe(place, 'ready') })
  }

  unlist (id: string): void {
    this.send({ kind: 'remove', order: 0, key: `servers/${id}` }, at => { this.leavings.push({ target: id, at }) })
  }

  /** Resolves when the store has taken it. */
  async drain (id: string, place: Place): Promise<void> {
    await new Promise<void>(resolve => {
      this.send({ kind: 'put', order: 0, key: `servers/${id}`, value: describe(place, 'draining') }, at => {
        this.leavings.push({ target: id, at })
        resolve()
      })
    })
  }

  /** Puts the next configuration in force: the extra route comes, moves and goes by turns. */
  configure (): void {
    const version = ++this.version
    const routes = new Map([['/pages/', 'shop'], ['/orders/', version % 4 < 2 ? 'ledger' : 'stock']])
    if (version % 3 !== 0) routes.set('/extra/', version % 2 === 0 ? 'stock' : 'shop')
    const sentAt = now()
    const noted = { version, sentAt, at: Infinity, routes }
    const index = this.configurations.push(noted) - 1
    this.send({ kind: 'put', order: 0, key: 'op/config', value: { version, resources: describeRoutes(routes) } }, at => {
      this.configurations[index] = { ...noted, at }
    })
  }

  acknowledge (order: number, at: number): void {
    this.awaited.get(order)?.(at)
    this.awaited.delete(order)
  }

  private send (message: Extract<ToStore, { kind: 'put' | 'remove' }>, acknowledge: Acknowledge = () => {}): void {
    const order = ++this.orders
    this.awaited.set(order, acknowledge)
    this.store.send({ ...message, order })
  }
}

function describe ({ linkIp, service, failureDomain }: Place, state: 'ready' | 'draining'): unknown {
  return {
    address: `${linkIp}:${ports.upstream}`,
    info: { service, version: 'v1', zone: failureDomain, slots: 8 },
    status: { state, sequence: 1, cold_remaining_ms: 0 }
  }
}

function describeRoutes (routes: ReadonlyMap<string, string>): unknown[] {
  const described = [...routes].map(([prefix, service]) => ({
    resource_type: 'routes',
    metadata: { name: `route-${prefix}` },
    spec: { host: 'shop.example', prefix, route_type: prefix === '/orders/' ? 'non_idempotent' : 'idempotent', timeout_ms: routeTimeoutMs, slo_latency_ms: 500, priority: 1, service, max_attempts: maxAttempts }
  }))
  const named = ['shop', 'stock', 'ledger'].map(name => ({ resource_type: 'services', metadata: { name }, spec: { health_path: '/health' } }))
  return [...described, ...named, { resource_type: 'limits', metadata: {}, spec: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } }]
}
