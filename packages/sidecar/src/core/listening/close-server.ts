import type { Server } from 'node:http'

/** Stops listening and closes all connections of an HTTP server, even those with requests in flight. */
export function closeServer (server: Server): void {
  server.close()
  server.closeAllConnections()
}
