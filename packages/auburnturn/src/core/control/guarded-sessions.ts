import { Http2SessionManager } from '@connectrpc/connect-node'
import type { ClientHttp2Session, ClientHttp2Stream, OutgoingHttpHeaders } from 'node:http2'
import { idleConnectionMs } from './constants.js'

/**
 * A session manager whose sessions always have an error listener. The one it wraps takes its
 * own listener away when a message is sent between a session's end and its error event,
 * and an error event without a listener ends the process.
 */
export class GuardedSessions {
  private readonly sessions: Http2SessionManager
  private readonly guarded = new WeakSet<ClientHttp2Session>()

  private constructor (baseUrl: string) {
    this.sessions = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs: idleConnectionMs })
  }

  static create (baseUrl: string): GuardedSessions {
    return new GuardedSessions(baseUrl)
  }

  get authority (): string { return this.sessions.authority }

  async request (method: string, path: string, headers: OutgoingHttpHeaders, options: Parameters<Http2SessionManager['request']>[3]): Promise<ClientHttp2Stream> {
    const stream = await this.sessions.request(method, path, headers, options)
    this.guard(stream.session as ClientHttp2Session | undefined)
    return stream
  }

  notifyResponseByteRead (stream: ClientHttp2Stream): void {
    this.sessions.notifyResponseByteRead(stream)
  }

  abort (): void {
    this.sessions.abort()
  }

  private guard (session: ClientHttp2Session | undefined): void {
    if (session === undefined || this.guarded.has(session)) return
    this.guarded.add(session)
    session.on('error', () => {})
  }
}
