import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Logger } from 'auburnturn/core/logger'
import { messageBufferBytes } from '../bodies/index.js'
import { parseHost, parsePort } from './address.js'
import type { InFlightRequests } from './in-flight-requests.js'
import { listen } from './listen.js'
import { waitUntilSent } from './wait-until-sent.js'

/** Maximum size of a request head, in bytes; the configuration may set a lower limit. */
const maxRequestHeadBytes = 65_536

/** Serves one request; resolves when it has been answered. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Opens an HTTP server; resolves when it listens. If the handler of a request rejects, its connection is closed. */
export async function openServer ({ address, handle, inFlightRequests, logger }: ServerOptions): Promise<Server> {
  const server = createServer({ maxHeaderSize: maxRequestHeadBytes, highWaterMark: messageBufferBytes, noDelay: true }, (request, response) => {
    inFlightRequests.track(handle(request, response).then(async () => { await waitUntilSent(request, response) })).catch((error: unknown) => {
      logger.error('request-handler-failed', { error: error instanceof Error ? error.stack : String(error) })
      response.destroy()
    })
  })
  // Each request in flight on a connection listens for its end, and there may be many.
  server.on('connection', socket => { socket.setMaxListeners(0) })
  await listen(server, parseHost(address), parsePort(address))
  return server
}

interface ServerOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly handle: RequestHandler
  readonly inFlightRequests: InFlightRequests
  readonly logger: Logger
}
