import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Fault } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Part } from '../supervisor/types.js'

/** Answers `GET /dump[/PART]`, `/metrics` and `/health`. */
export class Operator implements Part {
  private readonly server: Server
  private readonly dumpNode: () => Record<string, unknown>
  private readonly metrics: Metrics

  private constructor (dumpNode: () => Record<string, unknown>, metrics: Metrics) {
    this.dumpNode = dumpNode
    this.metrics = metrics
    this.server = createServer((request, response) => { this.serve(request, response) })
  }

  static async create ({ ip, port, dumpNode, metrics }: { ip: string, port: number, dumpNode: () => Record<string, unknown>, metrics: Metrics }): Promise<Operator> {
    const operator = new Operator(dumpNode, metrics)
    await new Promise<void>((resolve, reject) => {
      operator.server.once('error', error => { reject(Fault.create('address-in-use', `${ip}:${port}`, error)) })
      operator.server.listen(port, ip, resolve)
    })
    return operator
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private serve (request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '/').split('?')[0] as string
    if (request.method !== 'GET') return send(response, 405, 'text/plain', 'Only GET is allowed.\n')
    if (path === '/health') return send(response, 200, 'text/plain', 'ok\n')
    if (path === '/metrics') return send(response, 200, 'text/plain; version=0.0.4', this.metrics.format())
    if (path === '/dump' || path.startsWith('/dump/')) return this.sendDump(response, path.slice('/dump/'.length))
    send(response, 404, 'text/plain', 'Known paths: /health /metrics /dump /dump/PART\n')
  }

  private sendDump (response: ServerResponse, part: string): void {
    const whole = this.dumpNode()
    if (part === '') return send(response, 200, 'application/json', JSON.stringify(whole))
    if (!Object.hasOwn(whole, part)) return send(response, 404, 'text/plain', `Known parts: ${Object.keys(whole).join(' ')}\n`)
    send(response, 200, 'application/json', JSON.stringify(whole[part]))
  }
}

function send (response: ServerResponse, status: number, type: string, body: string): void {
  response.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
