import type { ServerResponse } from 'node:http'
import { parseFaultSettings } from './fault-settings.js'
import type { FaultSettings } from './fault-settings.js'
import { StandInServer } from './stand-in-server.js'

const usage = 'POST /NAME?latencyMs=NUMBER&failing=BOOLEAN&down=BOOLEAN; without a query the stand-in is well again'

/** The function that sets the faults of each stand-in, by name of the stand-in. */
export type FaultSetters = ReadonlyMap<string, (faults: FaultSettings) => Promise<void>>

/** HTTP server that sets the faults of stand-ins, as in `POST /orders-1?latencyMs=200&failing=true&down=true`. */
export class FaultControlServer {
  private readonly server: StandInServer

  private constructor (server: StandInServer) {
    this.server = server
  }

  static async create ({ faultSetters, port }: { faultSetters: FaultSetters, port: number }): Promise<FaultControlServer> {
    const server = await StandInServer.create((request, response) => {
      handleRequest(faultSetters, request.method ?? '', request.url ?? '', response).catch(() => { response.destroy() })
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

async function handleRequest (faultSetters: FaultSetters, method: string, requestUrl: string, response: ServerResponse): Promise<void> {
  const url = new URL(requestUrl, 'http://stand-ins')
  const name = url.pathname.slice(1)
  const setFaults = faultSetters.get(name)
  const faults = parseFaultSettings(url.searchParams)
  if (method !== 'POST' || faults === undefined) return sendText(response, 400, usage)
  if (setFaults === undefined) return sendText(response, 404, `Known stand-ins: ${[...faultSetters.keys()].join(' ')}`)
  await setFaults(faults)
  sendText(response, 200, `${name} ${JSON.stringify(faults)}`)
}

function sendText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' })
  response.end(`${text}\n`)
}
