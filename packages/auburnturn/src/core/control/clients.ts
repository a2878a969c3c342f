import type { DescService } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { Client, Transport } from '@connectrpc/connect'
import { compressionGzip, createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { Part } from '../supervisor/types.js'
import { answerMs, idleConnectionMs, maxMessageBytes } from './constants.js'

/** Where a node listens for control messages. */
export interface ControlAddress { readonly ip: string, readonly controlPort: number }

interface Connection { readonly sessions: Http2SessionManager, readonly transport: Transport }

/** One kept connection to each node that control messages go to. */
export class ControlClients implements Part {
  private readonly connections = new Map<string, Connection>()
  private messages = 0

  private constructor () {}

  static create (): ControlClients {
    return new ControlClients()
  }

  /** A client of `service` at one node; its calls reject with a `ConnectError`. */
  clientOf<Service extends DescService> (service: Service, address: ControlAddress): Client<Service> {
    return createClient(service, this.connectionOf(address).transport)
  }

  async close (): Promise<void> {
    for (const { sessions } of this.connections.values()) sessions.abort()
    this.connections.clear()
  }

  dump (): unknown {
    return { peers: [...this.connections.keys()], messages: this.messages }
  }

  private connectionOf ({ ip, controlPort }: ControlAddress): Connection {
    const baseUrl = `http://${ip.includes(':') ? `[${ip}]` : ip}:${controlPort}`
    const known = this.connections.get(baseUrl)
    if (known !== undefined) return known
    const sessions = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs: idleConnectionMs })
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
      useBinaryFormat: true,
      sendCompression: compressionGzip,
      acceptCompression: [compressionGzip],
      readMaxBytes: maxMessageBytes,
      defaultTimeoutMs: answerMs,
      interceptors: [next => async request => {
        this.messages++
        return await next(request)
      }]
    })
    const fresh = { sessions, transport }
    this.connections.set(baseUrl, fresh)
    return fresh
  }
}
