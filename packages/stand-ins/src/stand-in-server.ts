import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { noFaults } from './fault-settings.js'
import type { FaultSettings } from './fault-settings.js'

const ip = '127.0.0.1'

/** Time that an idle connection is kept open between requests, in milliseconds. */
const keepAliveTimeout = 60_000

/** HTTP server on the loopback address that can inject faults into its responses. */
export class StandInServer {
  private readonly server: Server
  private readonly listener: RequestListener
  private faults = noFaults
  private boundPort = 0

  private constructor (listener: RequestListener) {
    this.listener = listener
    this.server = createServer({ keepAliveTimeout }, (request, response) => { this.handleRequest(request, response) })
  }

  static async create (listener: RequestListener, port = 0): Promise<StandInServer> {
    const server = new StandInServer(listener)
    await server.listen(port)
    return server
  }

  get port (): number {
    return this.boundPort
  }

  /** Applies from the next request on; `down` also closes the listening port and all open connections. */
  async setFaults (faults: FaultSettings): Promise<void> {
    const wasDown = this.faults.down
    this.faults = faults
    if (faults.down && !wasDown) await this.stop()
    if (!faults.down && wasDown) await this.listen(this.boundPort)
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
