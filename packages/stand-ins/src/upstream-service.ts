import type { IncomingMessage, ServerResponse } from 'node:http'
import type { FaultSettings } from './fault-settings.js'
import { StandInServer } from './stand-in-server.js'

/** A customer's service on one VM; responds to every request with its own name and a description of the request. */
export class UpstreamService {
  readonly name: string
  private readonly server: StandInServer

  private constructor (name: string, server: StandInServer) {
    this.name = name
    this.server = server
  }

  static async create (name: string, port = 0): Promise<UpstreamService> {
    const server = await StandInServer.create((request, response) => {
      sendRequestDescription(name, request, response).catch(() => { response.destroy() })
    }, port)
    return new UpstreamService(name, server)
  }

  get port (): number {
    return this.server.port
  }

  async setFaults (faults: FaultSettings): Promise<void> {
    await this.server.setFaults(faults)
  }

  async close (): Promise<void> {
    await this.server.close()
  }
}

async function sendRequestDescription (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
  let bytes = 0
  for await (const chunk of request) bytes += (chunk as Buffer).length
  const body = JSON.stringify({ upstream: name, method: request.method, path: request.url, bytes })
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
