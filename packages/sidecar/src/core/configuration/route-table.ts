import type { Route } from './types.js'

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>()

  private constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const routesByPrefix = this.routesByHost.get(route.host) ?? new Map<string, Route>()
      routesByPrefix.set(route.prefix, route)
      this.routesByHost.set(route.host, routesByPrefix)
    }
  }

  static create (routes: readonly Route[]): RouteTable {
    return new RouteTable(routes)
  }

  /**
   * Returns the route of the host with the longest prefix that `path` starts with. The time depends on the number of
   * slashes in the path, not on the number of routes.
   *
   * @param host value of the Host header, in any case, with or without a port
   * @param path path, with or without a query
   */
  find (host: string, path: string): Route | undefined {
    const routesByPrefix = this.routesByHost.get(stripPort(host.toLowerCase()))
    if (routesByPrefix === undefined) return undefined
    const queryStart = path.indexOf('?')
    let end = queryStart < 0 ? path.length : queryStart
    while (end > 0) {
      const slash = path.lastIndexOf('/', end - 1)
      if (slash < 0) return undefined
      const route = routesByPrefix.get(path.slice(0, slash + 1))
      if (route !== undefined) return route
      end = slash
    }
    return undefined
  }
}

function stripPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon > 0 && !host.endsWith(']') ? host.slice(0, colon) : host
}
