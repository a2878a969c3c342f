import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { idleTimeoutMs } from './constants.js'

/**
 * Open connections to one other node. Each carries one call at a time, so that a lost packet or a large body delays no other
 * call; the most recently used one is reused first.
 */
export class PeerConnectionPool {
  private readonly host: string
  private readonly port: number
  private readonly limit: number
  private readonly idle: Socket[] = []
  private openCount = 0
  private closed = false

  private constructor ({ host, port, limit }: PeerConnectionPoolOptions) {
    this.host = host
    this.port = port
    this.limit = limit
  }

  static create (options: PeerConnectionPoolOptions): PeerConnectionPool {
    return new PeerConnectionPool(options)
  }

  /** Takes an idle connection, or opens one, which is still connecting then; undefined at the limit of connections. */
  take (): Socket | undefined {
    const reused = this.idle.pop()
    if (reused !== undefined) {
      reused.setTimeout(0)
      return reused
    }
    return this.closed || this.openCount >= this.limit ? undefined : this.open()
  }

  /** Returns a connection whose call has ended and that has no bytes of it left. */
  release (socket: Socket): void {
    if (this.closed || socket.destroyed) {
      socket.destroy()
      return
    }
    this.idle.push(socket)
    socket.setTimeout(idleTimeoutMs)
  }

  /** Closes all idle connections, for example when they may all have become unresponsive. */
  closeIdle (): void {
    for (const socket of this.idle.splice(0)) socket.destroy()
  }

  close (): void {
    this.closed = true
    this.closeIdle()
  }

  private open (): Socket {
    const socket = connect({ host: this.host, port: this.port, noDelay: true })
    this.openCount++
    // Errors are followed by 'close', which the call in flight handles.
    socket.on('error', () => {})
    socket.on('timeout', () => { socket.destroy() })
    // Bytes that arrive while the connection is idle belong to no call.
    socket.on('data', () => { if (this.removeIdle(socket)) socket.destroy() })
    socket.once('close', () => {
      this.openCount--
      this.removeIdle(socket)
    })
    return socket
  }

  private removeIdle (socket: Socket): boolean {
    const index = this.idle.indexOf(socket)
    if (index < 0) return false
    this.idle.splice(index, 1)
    return true
  }
}

interface PeerConnectionPoolOptions {
  /** IP address of the other node. */
  readonly host: string
  readonly port: number
  /** Maximum number of open connections. */
  readonly limit: number
}
