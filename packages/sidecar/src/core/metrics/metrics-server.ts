import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Metrics } from 'auburnturn/core/metrics'
import { closeServer, listen } from '../listening/index.js'

/** Path that serves the state of the node as JSON. */
const dumpPath = '/dump'

/** Serves the metrics in the Prometheus text format, and the state of the node as JSON. */
export class MetricsServer {
  private readonly server: Server

  private constructor (server: Server) {
    this.server = server
  }

  /** Resolves when the server listens. */
  static async create ({ ip, port, path, metrics, dump }: MetricsServerOptions): Promise<MetricsServer> {
    const server = createServer((request, response) => {
      if (request.url === dumpPath) return response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(dump(), null, 2))
      if (request.url !== path) return response.writeHead(404, { 'content-length': 0 }).end()
      return response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics.format())
    })
    await listen(server, ip, port)
    return new MetricsServer(server)
  }

  async close (): Promise<void> {
    closeServer(this.server)
  }
}

interface MetricsServerOptions {
  readonly ip: string
  readonly port: number
  /** Path that serves the metrics. */
  readonly path: string
  readonly metrics: Metrics
  /** Returns the state of the node. */
  readonly dump: () => unknown
}
