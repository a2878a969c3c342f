import type { Duplex } from 'node:stream'
import type { RequestBody } from './request-body.js'

/** Which calls are in flight on which connection, and which connections can't be read any further. */
export class InFlight {
  private readonly bodies = new Map<Duplex, Set<RequestBody>>()
  private readonly broken = new WeakSet<Duplex>()

  private constructor () {}

  static create (): InFlight {
    return new InFlight()
  }

  /** Connections that carry a call now. */
  get connections (): number {
    return this.bodies.size
  }

  isBroken (socket: Duplex): boolean {
    return this.broken.has(socket)
  }

  /** Marks a connection whose input is broken, and gives the bodies of its calls; undefined when it has none. */
  markBroken (socket: Duplex): Iterable<RequestBody> | undefined {
    this.broken.add(socket)
    return this.bodies.get(socket)
  }

  add (socket: Duplex, body: RequestBody): void {
    const bodies = this.bodies.get(socket)
    if (bodies === undefined) this.bodies.set(socket, new Set([body]))
    else bodies.add(body)
  }

  /** True when the connection is broken and this was its last call, so that it is to be closed. */
  remove (socket: Duplex, body: RequestBody): boolean {
    const bodies = this.bodies.get(socket)
    bodies?.delete(body)
    if (bodies?.size !== 0) return false
    this.bodies.delete(socket)
    return this.broken.has(socket)
  }
}
