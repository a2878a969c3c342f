import type { Route } from './types.js'

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>()

  private constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const prefixes = this.routesByHost.get(route.host) ?? new Map<string, Route>()
      prefixes.set(route.prefix, route)
      this.routesByHost.set(route.host, prefixes)
    }
  }

  static create (routes: readonly Route[]): RouteTable {
    return new RouteTable(routes)
  }

  /**
   * The route with the longest prefix that begins `path`; the time grows with the slashes of the path only.
   *
   * @param host value of the Host header, with or without a port
   * @param path path with or without a query
   */
  find (host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(stripPort(host.toLowerCase()))
    if (prefixes === undefined) return undefined
    const query = path.indexOf('?')
    let end = query < 0 ? path.length : query
    while (end > 0) {
      const slash = path.lastIndexOf('/', end - 1)
      if (slash < 0) return undefined
      const route = prefixes.get(path.slice(0, slash + 1))
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
