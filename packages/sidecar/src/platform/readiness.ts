import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { closeServer, listen } from '../core/listening/index.js'

/** Path that the platform requests for its readiness check. */
const readinessPath = '/api/ready'

/** Answers the platform's readiness check: 200 if the node is ready, 503 if not. */
export class ReadinessServer {
  private readonly server: Server

  private constructor (server: Server) {
    this.server = server
  }

  /** Resolves when the server listens; rejects if it can't. */
  static async create ({ ip, port, isReady }: { ip: string, port: number, isReady: () => boolean }): Promise<ReadinessServer> {
    const server = createServer((request, response) => {
      response.sendDate = false
      const status = request.url !== readinessPath ? 404 : isReady() ? 200 : 503
      response.writeHead(status, { 'content-length': 0 }).end()
    })
    await listen(server, ip, port)
    return new ReadinessServer(server)
  }

  async close (): Promise<void> {
    closeServer(this.server)
  }
}
