import type { Duplex } from 'node:stream'
import type { Cancellation } from '../clock/index.js'

/**
 * Cancels the requests in flight on a connection when its other side ends or resets it. Node.js reports that only to the response
 * that is being written, and not to those of the requests behind it.
 */
export class ConnectionCancellations {
  private readonly bySocket = new WeakMap<Duplex, Set<Cancellation>>()

  private constructor () {}

  static create (): ConnectionCancellations {
    return new ConnectionCancellations()
  }

  /** Aborts a cancellation at the end of the connection, unless it is removed before; at once if the connection has ended. */
  add (socket: Duplex, cancellation: Cancellation): void {
    if (socket.destroyed || socket.readableEnded) cancellation.abort()
    else this.getCancellations(socket).add(cancellation)
  }

  remove (socket: Duplex, cancellation: Cancellation): void {
    this.bySocket.get(socket)?.delete(cancellation)
  }

  private getCancellations (socket: Duplex): Set<Cancellation> {
    const existing = this.bySocket.get(socket)
    if (existing !== undefined) return existing
    const created = new Set<Cancellation>()
    const abortAll = (): void => { for (const cancellation of created) cancellation.abort() }
    this.bySocket.set(socket, created)
    socket.once('end', abortAll).once('close', abortAll)
    return created
  }
}
