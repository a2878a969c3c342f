import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { noFaults } from './fault-settings.js'
import type { FaultSettings } from './fault-settings.js'

const ip = '127.0.0.1'

/** Connections are held this long between requests, in milliseconds. */
const keepAliveTimeoutMs = 60_000

/** An HTTP server on a loopback address that can be told to misbehave. */
export class StandInServer {
  private readonly server: Server
  private readonly listener: RequestListener
  private faults = noFaults
  private boundPort = 0

  private constructor (serve: RequestListener) {
    this.listener = serve
    this.server = createServer({ keepAliveTimeout: keepAliveTimeoutMs }, (request, response) => { this.handleRequest(request, response) })
  }

  static async create (serve: RequestListener, port = 0): Promise<StandInServer> {
    const standIn = new StandInServer(serve)
    await standIn.listen(port)
    return standIn
  }

  get port (): number {
    return this.boundPort
  }

  /** Takes effect for the next request; `down` also breaks the connections that are open. */
  async setFaults (behaviour: FaultSettings): Promise<void> {
    const wasDown = this.faults.down
    this.faults = behaviour
    if (behaviour.down && !wasDown) await this.stop()
    if (!behaviour.down && wasDown) await this.listen(this.boundPort)
  }

  async close (): Promise<void> {
    if (this.server.listening) await this.stop()
  }

  private handleRequest (...[request, response]: Parameters<RequestListener>): void {
    const { latencyMs, failing } = this.faults
    if (failing) {
      response.writeHead(500, { 'content-type': 'text/plain' })
      response.end('This stand-in was told to fail.\n')
      return
    }
    if (latencyMs === 0) this.listener(request, response)
    else setTimeout(() => { this.listener(request, response) }, latencyMs)
  }

  private async listen (port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, () => {
        this.server.off('error', reject)
        resolve()
      })
    })
    this.boundPort = (this.server.address() as AddressInfo).port
  }

  private async stop (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }
}
