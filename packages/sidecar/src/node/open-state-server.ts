import type { Logger } from 'auburnturn/core/logger'
import type { Part } from 'auburnturn/core/supervisor'
import type { SharedState } from '../core/following/index.js'
import { peerIdleTimeoutMs, serveState } from '../core/forwarding/index.js'
import { closeServer, openServer } from '../core/listening/index.js'
import type { InFlightRequests } from '../core/listening/index.js'

/** Opens the HTTP server from which other nodes read the state of this one; resolves when it listens. */
export async function openStateServer ({ readState, ...options }: StateServerOptions): Promise<Part> {
  const server = await openServer({ ...options, handle: async (request, response) => { await serveState(request, response, readState) } })
  server.keepAliveTimeout = peerIdleTimeoutMs
  return { close: async () => { closeServer(server) } }
}

interface StateServerOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly inFlightRequests: InFlightRequests
  readonly logger: Logger
  /** Returns the state that this node provides to others; undefined before it has a configuration. */
  readonly readState: () => SharedState | undefined
}
