import type { Duplex } from 'node:stream'
import type { RequestBody } from './request-body.js'

/** Which calls are in flight on which connection, and which connections can't be read any further. */
export class InFlightCalls {
  private readonly bodiesBySocket = new Map<Duplex, Set<RequestBody>>()
  private readonly unreadable = new WeakSet<Duplex>()

  private constructor () {}

  static create (): InFlightCalls {
    return new InFlightCalls()
  }

  /** Connections that carry a call now. */
  get connectionCount (): number {
    return this.bodiesBySocket.size
  }

  isUnreadable (socket: Duplex): boolean {
    return this.unreadable.has(socket)
  }

  /** Marks a connection whose input is broken, and gives the bodies of its calls; undefined when it has none. */
  markUnreadable (socket: Duplex): Iterable<RequestBody> | undefined {
    this.unreadable.add(socket)
    return this.bodiesBySocket.get(socket)
  }

  add (socket: Duplex, body: RequestBody): void {
    const bodies = this.bodiesBySocket.get(socket)
    if (bodies === undefined) this.bodiesBySocket.set(socket, new Set([body]))
    else bodies.add(body)
  }

  /** True when the connection is broken and this was its last call, so that it is to be closed. */
  remove (socket: Duplex, body: RequestBody): boolean {
    const bodies = this.bodiesBySocket.get(socket)
    bodies?.delete(body)
    if (bodies?.size !== 0) return false
    this.bodiesBySocket.delete(socket)
    return this.unreadable.has(socket)
  }
}
