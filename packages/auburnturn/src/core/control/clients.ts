import type { DescService } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { Client, Transport } from '@connectrpc/connect'
import { compressionGzip, createConnectTransport } from '@connectrpc/connect-node'
import { Fault } from '../errors/index.js'
import type { Part } from '../supervisor/types.js'
import { defaultMessageTimeoutMs, maxMessageBytes } from './constants.js'
import { deferAbort } from './defer-abort.js'
import { Session } from './session.js'
import type { ControlTraffic } from './types.js'

/** The address at which a node listens for control messages. */
export interface ControlAddress { readonly ip: string, readonly controlPort: number }

/** Whether an address can be reached; tests pass a function that simulates partitions. */
export type Reachability = (address: ControlAddress) => boolean

interface Connection { readonly session: Session, readonly transport: Transport }

/** Reuses one connection to each node that control messages are sent to. */
export class ControlClients implements Part {
  private readonly connections = new Map<string, Connection>()
  private messages = 0
  private closedBytes = 0

  private readonly isReachable: Reachability

  private constructor (isReachable: Reachability) {
    this.isReachable = isReachable
  }

  /** Messages to unreachable addresses fail immediately; all addresses are reachable unless `isReachable` is given. */
  static create (isReachable: Reachability = () => true): ControlClients {
    return new ControlClients(isReachable)
  }

  /** Returns a client of `service` at a node; its calls reject with a `ConnectError`. Throws a `node-unreachable` fault. */
  getClient<Service extends DescService> (service: Service, address: ControlAddress): Client<Service> {
    if (!this.isReachable(address)) throw Fault.create('node-unreachable', `${address.ip}:${address.controlPort}`)
    return createClient(service, this.getConnection(address).transport)
  }

  /** Bytes in both directions, and messages sent. */
  get traffic (): ControlTraffic {
    let bytes = this.closedBytes
    for (const { session } of this.connections.values()) bytes += session.bytes
    return { bytes, messages: this.messages }
  }

  async close (): Promise<void> {
    for (const { session } of this.connections.values()) session.close()
  }

  dump (): unknown {
    const open = [...this.connections].filter(([, { session }]) => session.isOpen).map(([origin]) => origin)
    return { open, ...this.traffic }
  }

  private getConnection ({ ip, controlPort }: ControlAddress): Connection {
    const baseUrl = `http://${ip.includes(':') ? `[${ip}]` : ip}:${controlPort}`
    const existing = this.connections.get(baseUrl)
    if (existing !== undefined) return existing
    this.removeIdle()
    const created = this.connect(baseUrl)
    this.connections.set(baseUrl, created)
    return created
  }

  private connect (baseUrl: string): Connection {
    const session = Session.create(baseUrl)
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      useBinaryFormat: true,
      sendCompression: compressionGzip,
      acceptCompression: [compressionGzip],
      readMaxBytes: maxMessageBytes,
      defaultTimeoutMs: defaultMessageTimeoutMs,
      interceptors: [next => async request => {
        this.messages++
        return await next({ ...request, signal: deferAbort(request.signal) })
      }]
    })
    return { session, transport }
  }

  /** Removes unused connections, so that the map does not grow as peers join and leave. */
  private removeIdle (): void {
    for (const [origin, { session }] of this.connections) {
      if (session.isActive) continue
      this.closedBytes += session.bytes
      this.connections.delete(origin)
    }
  }
}
