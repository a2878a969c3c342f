import type { ServerResponse } from 'node:http'
import { parseFaultSettings } from './fault-settings.js'
import type { FaultSettings } from './fault-settings.js'
import { StandInServer } from './stand-in-server.js'

const usage = 'POST /NAME?latencyMs=NUMBER&failing=BOOLEAN&down=BOOLEAN; without a query the stand-in is well again'

/** The stand-ins that take orders, by name, with what makes each behave so. */
export type FaultSetters = ReadonlyMap<string, (behaviour: FaultSettings) => Promise<void>>

/** Takes orders to misbehave: `POST /orders-1?latencyMs=200&failing=true&down=true`. */
export class FaultControlServer {
  private readonly server: StandInServer

  private constructor (server: StandInServer) {
    this.server = server
  }

  static async create ({ standIns, port }: { standIns: FaultSetters, port: number }): Promise<FaultControlServer> {
    const server = await StandInServer.create((request, response) => {
      handleRequest(standIns, request.method ?? '', request.url ?? '', response).catch(() => { response.destroy() })
    }, port)
    return new FaultControlServer(server)
  }

  get port (): number {
    return this.server.port
  }

  async close (): Promise<void> {
    await this.server.close()
  }
}

async function handleRequest (standIns: FaultSetters, method: string, target: string, response: ServerResponse): Promise<void> {
  const url = new URL(target, 'http://stand-ins')
  const name = url.pathname.slice(1)
  const behave = standIns.get(name)
  const behaviour = parseFaultSettings(url.searchParams)
  if (method !== 'POST' || behaviour === undefined) return sendText(response, 400, usage)
  if (behave === undefined) return sendText(response, 404, `Known stand-ins: ${[...standIns.keys()].join(' ')}`)
  await behave(behaviour)
  sendText(response, 200, `${name} ${JSON.stringify(behaviour)}`)
}

function sendText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' })
  response.end(`${text}\n`)
}
