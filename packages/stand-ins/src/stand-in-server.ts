import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { wellBehaved } from './behaviour.js'
import type { Behaviour } from './behaviour.js'

const ip = '127.0.0.1'

/** Connections are held this long between requests, in milliseconds. */
const keepAliveTimeout = 60_000

/** An HTTP server on a loopback address that can be told to misbehave. */
export class StandInServer {
  private readonly server: Server
  private readonly serve: RequestListener
  private behaviour = wellBehaved
  private boundPort = 0

  private constructor (serve: RequestListener) {
    this.serve = serve
    this.server = createServer({ keepAliveTimeout }, (request, response) => { this.handle(request, response) })
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
  async behave (behaviour: Behaviour): Promise<void> {
    const wasDown = this.behaviour.down
    this.behaviour = behaviour
    if (behaviour.down && !wasDown) await this.stop()
    if (!behaviour.down && wasDown) await this.listen(this.boundPort)
  }

  async close (): Promise<void> {
    if (this.server.listening) await this.stop()
  }

  private handle (...[request, response]: Parameters<RequestListener>): void {
    const { latencyMs, failing } = this.behaviour
    if (failing) {
      response.writeHead(500, { 'content-type': 'text/plain' })
      response.end('This stand-in was told to fail.\n')
      return
    }
    if (latencyMs === 0) this.serve(request, response)
    else setTimeout(() => { this.serve(request, response) }, latencyMs)
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
