import { createServer } from 'node:http'
import type { Server } from 'node:http'

/** The path of the platform's readiness check. */
const readinessPath = '/api/ready'

/** Answers the platform's readiness check: 200 when ready, 503 when not. */
export class ReadinessServer {
  private readonly server: Server

  private constructor (server: Server) {
    this.server = server
  }

  static async create ({ ip, port, isReady }: { ip: string, port: number, isReady: () => boolean }): Promise<ReadinessServer> {
    const server = createServer((request, response) => {
      response.sendDate = false
      const status = request.url !== readinessPath ? 404 : isReady() ? 200 : 503
      response.writeHead(status, { 'content-length': 0 }).end()
    })
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(port, ip, resolve) })
    return new ReadinessServer(server)
  }

  async close (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
  }
}
