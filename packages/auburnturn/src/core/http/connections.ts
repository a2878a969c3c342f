import { Client } from 'undici'
import type { buildConnector } from 'undici'
import { keepAliveMs } from './constants.js'

/** One kept-alive connection that carries one call at a time; undici opens it again after a loss. */
export interface Connection {
  readonly client: Client
  open: boolean
}

/** Waits for a connection; `start` is called with it at most once. */
export interface Waiter {
  start (connection: Connection): void
}

/** A bounded set of connections to one address. The one used last is used first, so that spare ones fall idle. */
export class Connections {
  private readonly origin: string
  private readonly limit: number
  private readonly headerBytes: number
  private readonly connect: buildConnector.connector | undefined
  private readonly all = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly waiters = new Set<Waiter>()
  private closed = false

  private constructor ({ origin, limit, headerBytes, connect }: ConnectionsOptions) {
    this.origin = origin
    this.connect = connect
    this.limit = limit
    this.headerBytes = headerBytes
  }

  static create (options: ConnectionsOptions): Connections {
    return new Connections(options)
  }

  /** Whether any connection carries a call or any call waits for one. */
  get busy (): boolean {
    return this.waiters.size > 0 || this.idle.length < this.all.size
  }

  /** Starts `waiter` on a connection, now or when one is free. */
  request (waiter: Waiter): void {
    const connection = this.idle.pop() ?? this.grow()
    if (connection === undefined) this.waiters.add(waiter)
    else waiter.start(connection)
  }

  /** Takes back a request that has not been started. */
  withdraw (waiter: Waiter): void {
    this.waiters.delete(waiter)
  }

  /** Gives a connection back, whatever state it is in. */
  release (connection: Connection): void {
    if (!this.all.has(connection)) return
    const next = this.nextWaiter()
    if (next === undefined) this.idle.push(connection)
    else next.start(connection)
  }

  /** Closes a connection that could not be opened in time, so that the next call starts a new one. */
  async discard (connection: Connection): Promise<void> {
    this.all.delete(connection)
    const next = this.nextWaiter()
    if (next !== undefined) this.request(next)
    await connection.client.destroy()
  }

  async close (): Promise<void> {
    this.closed = true
    await Promise.all([...this.all].map(async ({ client }) => { await client.destroy() }))
  }

  dump (): unknown {
    const open = [...this.all].filter(connection => connection.open).length
    return { origin: this.origin, open, idle: this.idle.length, waiting: this.waiters.size }
  }

  private nextWaiter (): Waiter | undefined {
    const first = this.waiters.values().next()
    if (first.done === true) return undefined
    this.waiters.delete(first.value)
    return first.value
  }

  private grow (): Connection | undefined {
    if (this.all.size >= this.limit || this.closed) return undefined
    const client = new Client(this.origin, {
      // One call at a time: undici sends a request again only behind another one on the same connection.
      pipelining: 1,
      // Calls have their own timeouts, on the timer wheel.
      connectTimeout: 0,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveMs,
      maxHeaderSize: this.headerBytes,
      ...(this.connect === undefined ? {} : { connect: this.connect })
    })
    const connection: Connection = { client, open: false }
    client.on('connect', () => { connection.open = true })
    client.on('disconnect', () => { connection.open = false })
    this.all.add(connection)
    return connection
  }
}

interface ConnectionsOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string
  readonly limit: number
  /** Longest head of an answer. */
  readonly headerBytes: number
  /** Opens a connection in undici's place. */
  readonly connect?: buildConnector.connector | undefined
}
