import type { Server } from 'node:http'
import type { Logger } from 'auburnturn/core/logger'
import type { CurrentConfiguration } from '../core/configuration/index.js'
import { closeServer, openServer, stopListening } from '../core/listening/index.js'
import type { InFlightRequests, RequestHandler } from '../core/listening/index.js'
import { defaultCallerIdleTimeoutMs } from './constants.js'

/** The HTTP server for the callers on this VM. The active configuration sets the timeouts of each new connection. */
export class CallerServer {
  private readonly server: Server

  private constructor (server: Server) {
    this.server = server
  }

  /** Resolves when the server listens; rejects if it can't. */
  static async create ({ configuration, ...options }: CallerServerOptions): Promise<CallerServer> {
    const server = await openServer(options)
    server.keepAliveTimeout = defaultCallerIdleTimeoutMs
    server.on('connection', () => { applyTimeouts(server, configuration) })
    return new CallerServer(server)
  }

  /** Stops accepting connections; open ones continue. */
  async stopListening (): Promise<void> {
    await stopListening(this.server)
  }

  /** Closes the server together with all its connections. */
  async close (): Promise<void> {
    closeServer(this.server)
  }
}

function applyTimeouts (server: Server, { limits }: CurrentConfiguration): void {
  if (limits === undefined) return
  server.keepAliveTimeout = limits.idleTimeoutMs
  server.headersTimeout = limits.headerTimeoutMs
}

interface CallerServerOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly handle: RequestHandler
  readonly inFlightRequests: InFlightRequests
  readonly logger: Logger
  readonly configuration: CurrentConfiguration
}
