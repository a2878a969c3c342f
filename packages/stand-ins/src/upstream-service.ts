import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A customer's service on one VM; it answers every request with its name and what it received. */
export class UpstreamService {
  private readonly server: Server
  private readonly name: string

  private constructor (name: string) {
    this.name = name
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.answer(request, response).catch(() => { response.destroy() })
    })
  }

  static async create (name: string, port = 0): Promise<UpstreamService> {
    const service = new UpstreamService(name)
    await new Promise<void>(resolve => { service.server.listen(port, '127.0.0.1', resolve) })
    return service
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    let bytes = 0
    for await (const chunk of request) bytes += (chunk as Buffer).length
    const body = JSON.stringify({ upstream: this.name, method: request.method, path: request.url, bytes })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(`${body}`)
  }
}
