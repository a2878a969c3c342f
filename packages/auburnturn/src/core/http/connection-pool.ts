import { Client } from 'undici'
import type { buildConnector } from 'undici'
import { targetKeepAliveMs } from './constants.js'

/** One kept-alive connection that carries one call at a time; undici opens it again after a loss. */
export interface Connection {
  readonly client: Client
  open: boolean
}

/** Waits for a connection; `start` is called with it at most once. */
export interface ConnectionRequest {
  useConnection (connection: Connection): void
}

/** A bounded set of connections to one address. The one used last is used first, so that spare ones fall idle. */
export class ConnectionPool {
  private readonly origin: string
  private readonly limit: number
  private readonly headerBytes: number
  private readonly connect: buildConnector.connector | undefined
  private readonly connections = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly requests = new Set<ConnectionRequest>()
  private closed = false

  private constructor ({ origin, maxConnections: limit, maxHeaderBytes: headerBytes, connector: connect }: ConnectionPoolOptions) {
    this.origin = origin
    this.connect = connect
    this.limit = limit
    this.headerBytes = headerBytes
  }

  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  /** Whether any connection carries a call or any call waits for one. */
  get busy (): boolean {
    return this.requests.size > 0 || this.idle.length < this.connections.size
  }

  /** Starts `waiter` on a connection, now or when one is free. */
  acquire (waiter: ConnectionRequest): void {
    const connection = this.idle.pop() ?? this.createConnection()
    if (connection === undefined) this.requests.add(waiter)
    else waiter.useConnection(connection)
  }

  /** Takes back a request that has not been started. */
  cancelRequest (waiter: ConnectionRequest): void {
    this.requests.delete(waiter)
  }

  /** Gives a connection back, whatever state it is in. */
  release (connection: Connection): void {
    if (!this.connections.has(connection)) return
    const next = this.takeNextRequest()
    if (next === undefined) this.idle.push(connection)
    else next.useConnection(connection)
  }

  /** Closes a connection that could not be opened in time, so that the next call starts a new one. */
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
    if (this.connections.size >= this.limit || this.closed) return undefined
    const client = new Client(this.origin, {
      // One call at a time: undici sends a request again only behind another one on the same connection.
      pipelining: 1,
      // Calls have their own timeouts, on the timer wheel.
      connectTimeout: 0,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: targetKeepAliveMs,
      maxHeaderSize: this.headerBytes,
      ...(this.connect === undefined ? {} : { connect: this.connect })
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
  readonly maxConnections: number
  /** Longest head of an answer. */
  readonly maxHeaderBytes: number
  /** Opens a connection in undici's place. */
  readonly connector?: buildConnector.connector | undefined
}
