import { Client } from 'undici'
import type { buildConnector } from 'undici'
import { targetKeepAliveMs } from './constants.js'

/** A keep-alive connection that carries one call at a time; undici reopens it when it was lost. */
export interface Connection {
  readonly client: Client
  open: boolean
}

/** A pending request for a connection; `useConnection` is called at most once. */
export interface ConnectionRequest {
  useConnection (connection: Connection): void
}

/** A bounded pool of connections to one address. The last one used is reused first, so that surplus ones stay idle. */
export class ConnectionPool {
  private readonly origin: string
  private readonly maxSize: number
  private readonly maxHeaderBytes: number
  private readonly connector: buildConnector.connector | undefined
  private readonly connections = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly requests = new Set<ConnectionRequest>()
  private closed = false

  private constructor ({ origin, maxSize, maxHeaderBytes, connector }: ConnectionPoolOptions) {
    this.origin = origin
    this.connector = connector
    this.maxSize = maxSize
    this.maxHeaderBytes = maxHeaderBytes
  }

  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  /** Whether any connection carries a call or any call waits for a connection. */
  get busy (): boolean {
    return this.requests.size > 0 || this.idle.length < this.connections.size
  }

  /** Gives `request` a connection, immediately or when one becomes free. */
  acquire (request: ConnectionRequest): void {
    const connection = this.idle.pop() ?? this.createConnection()
    if (connection === undefined) this.requests.add(request)
    else request.useConnection(connection)
  }

  /** Removes a request that has not received a connection. */
  cancelRequest (request: ConnectionRequest): void {
    this.requests.delete(request)
  }

  /** Returns a connection to the pool, whether it is open or lost. */
  release (connection: Connection): void {
    if (!this.connections.has(connection)) return
    const next = this.takeNextRequest()
    if (next === undefined) this.idle.push(connection)
    else next.useConnection(connection)
  }

  /** Closes a connection that did not open in time, so that the next call opens a new one. */
  async discard (connection: Connection): Promise<void> {
    this.connections.delete(connection)
    const next = this.takeNextRequest()
    if (next !== undefined) this.acquire(next)
    await connection.client.destroy()
  }

  async close (): Promise<void> {
    this.closed = true
    await Promise.all([...this.connections].map(async ({ client }) => { await client.destroy() }))
  }

  dump (): unknown {
    const open = [...this.connections].filter(connection => connection.open).length
    return { origin: this.origin, open, idle: this.idle.length, waiting: this.requests.size }
  }

  private takeNextRequest (): ConnectionRequest | undefined {
    const first = this.requests.values().next()
    if (first.done === true) return undefined
    this.requests.delete(first.value)
    return first.value
  }

  private createConnection (): Connection | undefined {
    if (this.connections.size >= this.maxSize || this.closed) return undefined
    const client = new Client(this.origin, {
      // No pipelining: undici resends a request only when it is queued behind another one on the same connection.
      pipelining: 1,
      // Each call has its own timeouts on the timer wheel.
      connectTimeout: 0,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: targetKeepAliveMs,
      maxHeaderSize: this.maxHeaderBytes,
      ...(this.connector === undefined ? {} : { connect: this.connector })
    })
    const connection: Connection = { client, open: false }
    client.on('connect', () => { connection.open = true })
    client.on('disconnect', () => { connection.open = false })
    this.connections.add(connection)
    return connection
  }
}

interface ConnectionPoolOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string
  /** Maximum number of connections. */
  readonly maxSize: number
  /** Maximum size of an answer head. */
  readonly maxHeaderBytes: number
  /** Replaces undici's own connector. */
  readonly connector?: buildConnector.connector | undefined
}
