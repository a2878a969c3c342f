import type { Duplex } from 'node:stream'
import type { RequestBody } from './request-body.js'

/** Tracks the request bodies of calls in flight per connection, and the connections whose input can't be parsed further. */
export class InFlightCalls {
  private readonly bodiesBySocket = new Map<Duplex, Set<RequestBody>>()
  private readonly unreadable = new WeakSet<Duplex>()

  private constructor () {}

  static create (): InFlightCalls {
    return new InFlightCalls()
  }

  /** Number of connections with at least one call in flight. */
  get connectionCount (): number {
    return this.bodiesBySocket.size
  }

  isUnreadable (socket: Duplex): boolean {
    return this.unreadable.has(socket)
  }

  /** Marks a connection as unreadable and returns the bodies of its calls; undefined if it has none. */
  markUnreadable (socket: Duplex): Iterable<RequestBody> | undefined {
    this.unreadable.add(socket)
    return this.bodiesBySocket.get(socket)
  }

  add (socket: Duplex, body: RequestBody): void {
    const bodies = this.bodiesBySocket.get(socket)
    if (bodies === undefined) this.bodiesBySocket.set(socket, new Set([body]))
    else bodies.add(body)
  }

  /** Returns true if the connection must be closed now: it is unreadable, and this was its last call. */
  remove (socket: Duplex, body: RequestBody): boolean {
    const bodies = this.bodiesBySocket.get(socket)
    bodies?.delete(body)
    if (bodies?.size !== 0) return false
    this.bodiesBySocket.delete(socket)
    return this.unreadable.has(socket)
  }
}
