import type { buildConnector } from 'undici'
import { headerNames } from '../call/index.js'
import { ReadPace } from '../bodies/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { notRun } from '../verdict/index.js'
import { Attempt } from './attempt.js'
import { ConnectionPool } from './connection-pool.js'

/** Sends calls to one address over a pool of keep-alive HTTP/1.1 connections. */
export class Exchange {
  private readonly pool: ConnectionPool
  private readonly clock: Clock
  private readonly pace: ReadPace
  private readonly isPeer: boolean
  private sends = 0

  private constructor (pool: ConnectionPool, clock: Clock, isPeer: boolean) {
    this.pool = pool
    this.clock = clock
    this.pace = ReadPace.create({ clock })
    this.isPeer = isPeer
  }

  /** Connections are opened on demand. */
  static create ({ origin, maxConnections, clock, isPeer = false, maxHeaderBytes = 65_536, connector }: ExchangeOptions): Exchange {
    return new Exchange(ConnectionPool.create({ origin, maxSize: maxConnections, maxHeaderBytes, connector }), clock, isPeer)
  }

  /** Whether any call is in flight or waits for a connection. */
  get busy (): boolean {
    return this.pool.busy
  }

  /** Makes one attempt, with `extraHeaders` added to those of the call. Never rejects. */
  async send (call: Call, body: Body, answer: Answer, extraHeaders: RawHeaders = []): Promise<Outcome> {
    if (this.clock.now() >= call.deadline) return { verdict: notRun('deadline-expired') }
    if (call.signal.aborted) return { verdict: notRun('caller-gone') }
    const { pool, clock, pace, isPeer } = this
    const sendNumber = isPeer ? String(++this.sends) : undefined
    const sendHeaders = sendNumber === undefined ? [] : [headerNames.send, sendNumber]
    const headers = extraHeaders.length + sendHeaders.length === 0 ? call.headers : [...call.headers, ...extraHeaders, ...sendHeaders]
    return await new Promise<Outcome>(resolve => {
      Attempt.start({ call, body, answer, headers, pool, clock, pace, isPeer, sendNumber, resolve })
    })
  }

  /** Aborts the calls in flight and closes all connections. */
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
  /** Whether the server is another node; only then are the verdict and load headers of its answers accepted. */
  readonly isPeer?: boolean
  /** Maximum size of an answer head. */
  readonly maxHeaderBytes?: number
  /** Replaces undici's own connector. */
  readonly connector?: buildConnector.connector
}
