import type { buildConnector } from 'undici'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { notRun } from '../verdict/index.js'
import { Attempt } from './attempt.js'
import { Connections } from './connections.js'

/** Sends calls to one address over kept-alive HTTP/1.1 connections. */
export class Exchange {
  private readonly connections: Connections
  private readonly clock: Clock
  private readonly trusted: boolean

  private constructor (connections: Connections, clock: Clock, trusted: boolean) {
    this.connections = connections
    this.clock = clock
    this.trusted = trusted
  }

  /** Connections are opened when calls need them. */
  static create ({ origin, connections, clock, trusted = false, headerBytes = 65_536, connect }: ExchangeOptions): Exchange {
    return new Exchange(Connections.create({ origin, limit: connections, headerBytes, connect }), clock, trusted)
  }

  /** Whether any call is on its way. */
  get busy (): boolean {
    return this.connections.busy
  }

  /** One attempt: `extra` headers are added to the call's own. Never rejects. */
  async send (call: Call, body: Body, answer: Answer, extra: RawHeaders = []): Promise<Outcome> {
    if (this.clock.now() >= call.deadline) return { verdict: notRun('deadline-expired') }
    if (call.signal.aborted) return { verdict: notRun('caller-gone') }
    const { connections, clock, trusted } = this
    const headers = extra.length === 0 ? call.headers : [...call.headers, ...extra]
    return await new Promise<Outcome>(resolve => {
      Attempt.start({ call, body, answer, headers, connections, clock, trusted, resolve })
    })
  }

  /** Breaks off what is in flight and closes every connection. */
  async close (): Promise<void> {
    await this.connections.close()
  }

  dump (): unknown {
    return this.connections.dump()
  }
}

interface ExchangeOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string
  readonly connections: number
  readonly clock: Clock
  /** Whether another node listens there: only then is what the answer says of verdict and load believed. */
  readonly trusted?: boolean
  /** Longest head of an answer, in bytes. */
  readonly headerBytes?: number
  /** Opens a connection in undici's place. */
  readonly connect?: buildConnector.connector
}
