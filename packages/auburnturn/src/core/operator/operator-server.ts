import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { isIP } from 'node:net'
import type { AddressInfo } from 'node:net'
import { Fault } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Part } from '../supervisor/types.js'
import { maxConnections, requestTimeoutMs } from './constants.js'
import { formatRedacted } from './redact.js'
import type { NodeState } from './types.js'

const plainText = 'text/plain; charset=utf-8'
const prometheusText = 'text/plain; version=0.0.4; charset=utf-8'

/** HTTP server for `GET /dump[/PART]`, `/metrics` and `/health`. */
export class OperatorServer implements Part {
  private readonly server: Server
  private readonly options: OperatorServerOptions
  private closing = false

  private constructor (options: OperatorServerOptions) {
    this.options = options
    this.server = createServer({ headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs }, (request, response) => { this.handleRequest(request, response) })
    this.server.maxConnections = maxConnections
  }

  /** Resolves when the address is bound. Rejects with an `address-in-use` fault if it cannot be bound. */
  static async create (options: OperatorServerOptions): Promise<OperatorServer> {
    const operator = new OperatorServer(options)
    const { ip, port } = options
    await new Promise<void>((resolve, reject) => {
      // This listener is never removed: later errors of accepting a connection would otherwise be uncaught.
      operator.server.on('error', error => { reject(Fault.create('address-in-use', `${ip}:${port}`, error)) })
      operator.server.listen(port, ip, resolve)
    })
    operator.watchForClose()
    return operator
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    this.closing = true
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() }) // also calls back if the server is already closed
      this.server.closeAllConnections()
    })
  }

  /** Reports a failure to the supervisor if the server closes unexpectedly. */
  private watchForClose (): void {
    const { fail } = this.options
    this.server.on('close', () => { if (!this.closing) fail(new Error('the operator address was closed')) })
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    if (!usesIpAddress(request.headers.host)) return send(response, 403, plainText, 'Name this address by its IP number.\n')
    if (request.method !== 'GET') return send(response, 405, plainText, 'Only GET is allowed.\n', ['allow', 'GET'])
    try {
      this.route((request.url ?? '/').split('?')[0] as string, response)
    } catch (error) {
      send(response, 500, plainText, `The state can't be read: ${String(error)}\n`)
    }
  }

  private route (path: string, response: ServerResponse): void {
    if (path === '/health') return this.sendHealth(response)
    if (path === '/metrics') return send(response, 200, prometheusText, this.options.metrics.format())
    if (path === '/dump' || path.startsWith('/dump/')) return this.sendDump(response, path.slice('/dump/'.length))
    send(response, 404, plainText, 'Known paths: /health /metrics /dump /dump/PART\n')
  }

  private sendHealth (response: ServerResponse): void {
    const state = this.options.readState()
    send(response, state === 'serving' ? 200 : 503, plainText, `${state}\n`)
  }

  private sendDump (response: ServerResponse, part: string): void {
    const parts = this.options.dumpNode()
    if (part === '') return send(response, 200, 'application/json', formatRedacted(parts))
    if (!Object.hasOwn(parts, part)) return send(response, 404, plainText, `Known parts: ${Object.keys(parts).join(' ')}\n`)
    send(response, 200, 'application/json', formatRedacted(parts[part]))
  }
}

interface OperatorServerOptions {
  readonly ip: string
  readonly port: number
  /** Returns the state of the node by part. */
  readonly dumpNode: () => Record<string, unknown>
  readonly readState: () => NodeState
  readonly metrics: Metrics
  /** Called once if the server closes unexpectedly. */
  readonly fail: (error: unknown) => void
}

/**
 * Whether the Host header is an IP address or localhost. Guards against DNS rebinding: a web page of another origin can
 * reach a loopback address only through a host name of its own.
 */
function usesIpAddress (host: string | undefined): boolean {
  const name = (host ?? '').replace(/:\d+$/, '').replace(/^\[(.*)\]$/, '$1')
  return name === '' || name === 'localhost' || isIP(name) !== 0
}

function send (response: ServerResponse, status: number, type: string, body: string, headers: readonly string[] = []): void {
  response.writeHead(status, ['content-type', type, 'content-length', String(Buffer.byteLength(body)), ...headers])
  response.end(body)
}
