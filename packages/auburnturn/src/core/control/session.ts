import { connect, constants } from 'node:http2'
import type { ClientHttp2Session, ClientHttp2Stream, ClientSessionRequestOptions, OutgoingHttpHeaders } from 'node:http2'
import { connect as openSocket } from 'node:net'
import type { Socket } from 'node:net'
import { connectTimeoutMs, idleConnectionTimeoutMs } from './constants.js'

/**
 * One HTTP/2 connection to a peer, opened when a message needs it and closed when idle.
 * The session manager of connect-node removes its error listener while a session is being destroyed. An `error` event
 * caused by a peer that closes the connection is then uncaught and ends the process; this class keeps the listener.
 */
export class Session {
  readonly authority: string
  private openSession: ClientHttp2Session | undefined
  private socket: Socket | undefined
  private opening: Promise<ClientHttp2Session> | undefined
  private closedBytes = 0
  private closed = false

  private constructor (authority: string) {
    this.authority = authority
  }

  /** `authority` is the peer's origin, such as `http://127.0.0.1:7001`. */
  static create (authority: string): Session {
    return new Session(authority)
  }

  /** Bytes of all connections so far, in both directions. */
  get bytes (): number {
    return this.closedBytes + (this.openSession === undefined ? 0 : (this.socket?.bytesRead ?? 0) + (this.socket?.bytesWritten ?? 0))
  }

  get isOpen (): boolean {
    return this.openSession !== undefined
  }

  /** Whether a connection is open or being opened. */
  get isActive (): boolean {
    return this.openSession !== undefined || this.opening !== undefined
  }

  /** Opens a stream; rejects when the peer can't be reached. */
  async request (method: string, path: string, headers: OutgoingHttpHeaders, options: Omit<ClientSessionRequestOptions, 'signal'>): Promise<ClientHttp2Stream> {
    const session = this.openSession ?? await (this.opening ??= this.connect())
    const stream = session.request({ ...headers, [constants.HTTP2_HEADER_METHOD]: method, [constants.HTTP2_HEADER_PATH]: path }, options)
    session.ref()
    stream.once('close', () => { if (!session.destroyed) session.unref() })
    return stream
  }

  /** Required by the interface, for session managers that skip pings while bytes arrive. This class sends no pings. */
  notifyResponseByteRead (): void {}

  close (): void {
    this.closed = true
    this.openSession?.destroy()
  }

  private async connect (): Promise<ClientHttp2Session> {
    try {
      const session = await this.openConnection()
      if (this.closed) session.destroy()
      return session
    } finally {
      this.opening = undefined
    }
  }

  private async openConnection (): Promise<ClientHttp2Session> {
    return await new Promise((resolve, reject) => {
      const { hostname, port } = new URL(this.authority)
      const socket = openSocket(Number(port), hostname.replace(/^\[|\]$/g, ''))
      const session = connect(this.authority, { createConnection: () => socket })
      session.on('error', reject)
      session.setTimeout(connectTimeoutMs, () => { session.destroy(new Error('the peer did not accept the connection')) })
      session.once('connect', () => {
        this.openSession = session
        this.socket = socket
        session.setTimeout(idleConnectionTimeoutMs, () => { session.close() })
        resolve(session)
      })
      session.once('goaway', () => { this.clearSession(session) })
      session.once('close', () => {
        this.clearSession(session)
        this.closedBytes += socket.bytesRead + socket.bytesWritten
        reject(new Error('the connection was closed'))
      })
    })
  }

  private clearSession (session: ClientHttp2Session): void {
    if (this.openSession === session) this.openSession = undefined
  }
}
