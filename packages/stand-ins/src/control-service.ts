import type { ServerResponse } from 'node:http'
import { parseBehaviour } from './behaviour.js'
import { StandInServer } from './stand-in-server.js'
import type { UpstreamService } from './upstream-service.js'

const usage = 'POST /UPSTREAM?latencyMs=NUMBER&failing=BOOLEAN&down=BOOLEAN; without a query the upstream is well again'

/** Takes orders to misbehave: `POST /orders-1?latencyMs=200&failing=true&down=true`. */
export class ControlService {
  private readonly server: StandInServer

  private constructor (server: StandInServer) {
    this.server = server
  }

  static async create ({ upstreams, port }: { upstreams: readonly UpstreamService[], port: number }): Promise<ControlService> {
    const server = await StandInServer.create((request, response) => {
      order(upstreams, request.method ?? '', request.url ?? '', response).catch(() => { response.destroy() })
    }, port)
    return new ControlService(server)
  }

  get port (): number {
    return this.server.port
  }

  async close (): Promise<void> {
    await this.server.close()
  }
}

async function order (upstreams: readonly UpstreamService[], method: string, target: string, response: ServerResponse): Promise<void> {
  const url = new URL(target, 'http://stand-ins')
  const upstream = upstreams.find(({ name }) => url.pathname === `/${name}`)
  const behaviour = parseBehaviour(url.searchParams)
  if (method !== 'POST' || behaviour === undefined) return answer(response, 400, usage)
  if (upstream === undefined) return answer(response, 404, `Known upstreams: ${upstreams.map(({ name }) => name).join(' ')}`)
  await upstream.behave(behaviour)
  answer(response, 200, `${upstream.name} ${JSON.stringify(behaviour)}`)
}

function answer (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' })
  response.end(`${text}\n`)
}
