import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Logger } from 'auburnturn/core/logger'
import { parseHost, parsePort } from './address.js'
import type { InFlightRequests } from './in-flight-requests.js'

/** Longest request head, in bytes; the configuration bounds it further. */
const maxRequestHeadBytes = 65_536

/** Serves one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Opens an HTTP server; resolves when it listens. A request whose handling fails loses its connection. */
export async function openServer ({ address, handle, inFlightRequests: underWay, logger }: ServerOptions): Promise<Server> {
  const server = createServer({ maxHeaderSize: maxRequestHeadBytes, noDelay: true }, (request, response) => {
    underWay.track(handle(request, response)).catch((error: unknown) => {
      logger.error('request-handler-failed', { error: error instanceof Error ? error.stack : String(error) })
      response.destroy()
    })
  })
  await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(parsePort(address), parseHost(address), resolve) })
  return server
}

interface ServerOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly handle: RequestHandler
  readonly inFlightRequests: InFlightRequests
  readonly logger: Logger
}
