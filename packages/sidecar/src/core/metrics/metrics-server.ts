import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Metrics } from 'auburnturn/core/metrics'

/** Serves the metrics as text. */
export class MetricsServer {
  private readonly server: Server

  private constructor (server: Server) {
    this.server = server
  }

  static async create ({ ip, port, path, metrics }: { ip: string, port: number, path: string, metrics: Metrics }): Promise<MetricsServer> {
    const server = createServer((request, response) => {
      if (request.url !== path) return response.writeHead(404, { 'content-length': 0 }).end()
      return response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics.format())
    })
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(port, ip, resolve) })
    return new MetricsServer(server)
  }

  async close (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
  }
}
