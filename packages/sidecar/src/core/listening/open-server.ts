import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Logger } from 'auburnturn/core/logger'
import { hostOf, portOf } from './address.js'
import type { UnderWay } from './under-way.js'

/** Longest request head, in bytes; the configuration bounds it further. */
const maxHeadBytes = 65_536

/** Serves one request. */
export type Handle = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Opens an HTTP server; resolves when it listens. A request whose handling fails loses its connection. */
export async function openServer ({ address, handle, underWay, logger }: ServerOptions): Promise<Server> {
  const server = createServer({ maxHeaderSize: maxHeadBytes, noDelay: true }, (request, response) => {
    underWay.follow(handle(request, response)).catch((error: unknown) => {
      logger.error('request-crashed', { error: error instanceof Error ? error.stack : String(error) })
      response.destroy()
    })
  })
  await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(portOf(address), hostOf(address), resolve) })
  return server
}

interface ServerOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly handle: Handle
  readonly underWay: UnderWay
  readonly logger: Logger
}
