import type { buildConnector } from 'undici'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { notRun } from '../verdict/index.js'
import { Attempt } from './attempt.js'
import { ConnectionPool } from './connection-pool.js'

/** Sends calls to one address over kept-alive HTTP/1.1 connections. */
export class Exchange {
  private readonly pool: ConnectionPool
  private readonly clock: Clock
  private readonly isPeer: boolean

  private constructor (connections: ConnectionPool, clock: Clock, trusted: boolean) {
    this.pool = connections
    this.clock = clock
    this.isPeer = trusted
  }

  /** Connections are opened when calls need them. */
  static create ({ origin, maxConnections: connections, clock, isPeer: trusted = false, maxHeaderBytes: headerBytes = 65_536, connector: connect }: ExchangeOptions): Exchange {
    return new Exchange(ConnectionPool.create({ origin, maxConnections: connections, maxHeaderBytes: headerBytes, connector: connect }), clock, trusted)
  }

  /** Whether any call is on its way. */
  get busy (): boolean {
    return this.pool.busy
  }

  /** One attempt: `extra` headers are added to the call's own. Never rejects. */
  async send (call: Call, body: Body, answer: Answer, extra: RawHeaders = []): Promise<Outcome> {
    if (this.clock.now() >= call.deadline) return { verdict: notRun('deadline-expired') }
    if (call.signal.aborted) return { verdict: notRun('caller-gone') }
    const { pool: connections, clock, isPeer: trusted } = this
    const headers = extra.length === 0 ? call.headers : [...call.headers, ...extra]
    return await new Promise<Outcome>(resolve => {
      Attempt.start({ call, body, answer, headers, pool: connections, clock, isPeer: trusted, resolve })
    })
  }

  /** Breaks off what is in flight and closes every connection. */
  async close (): Promise<void> {
    await this.pool.close()
  }

  dump (): unknown {
    return this.pool.dump()
  }
}

interface ExchangeOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string
  readonly maxConnections: number
  readonly clock: Clock
  /** Whether another node listens there: only then is what the answer says of verdict and load believed. */
  readonly isPeer?: boolean
  /** Longest head of an answer, in bytes. */
  readonly maxHeaderBytes?: number
  /** Opens a connection in undici's place. */
  readonly connector?: buildConnector.connector
}
