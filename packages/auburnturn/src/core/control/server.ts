import { connectNodeAdapter } from '@connectrpc/connect-node'
import { createServer } from 'node:http2'
import type { Http2Server, ServerHttp2Session } from 'node:http2'
import type { AddressInfo, Socket } from 'node:net'
import { Fault } from '../errors/index.js'
import type { Part } from '../supervisor/types.js'
import { maxMessageBytes } from './constants.js'
import type { ControlTraffic, Routes } from './types.js'

/** Serves the control messages of other nodes on one address. */
export class ControlServer implements Part {
  private readonly server: Http2Server
  private readonly sessions = new Set<ServerHttp2Session>()
  private readonly sockets = new Set<Socket>()
  private closedBytes = 0
  private messages = 0

  private constructor (routes: readonly Routes[]) {
    this.server = createServer(connectNodeAdapter({
      routes: router => { for (const addRoutes of routes) addRoutes(router) },
      connect: true,
      grpc: false,
      grpcWeb: false,
      readMaxBytes: maxMessageBytes
    }))
    this.server.on('session', session => { this.trackSession(session) })
    this.server.on('connection', (socket: Socket) => { this.countBytes(socket) })
    this.server.on('stream', () => { this.messages++ })
  }

  /** Starts to listen; rejects with an `address-in-use` fault. */
  static async create ({ ip, port, routes }: { ip: string, port: number, routes: readonly Routes[] }): Promise<ControlServer> {
    const controlServer = new ControlServer(routes)
    await new Promise<void>((resolve, reject) => {
      // Stays registered: an error in accepting a connection occurs later, and nothing else would handle it.
      controlServer.server.on('error', error => { reject(Fault.create('address-in-use', `${ip}:${port}`, error)) })
      controlServer.server.listen(port, ip, resolve)
    })
    return controlServer
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Bytes in both directions, and messages received. */
  get traffic (): ControlTraffic {
    let bytes = this.closedBytes
    for (const socket of this.sockets) bytes += socket.bytesRead + socket.bytesWritten
    return { bytes, messages: this.messages }
  }

  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    for (const session of this.sessions) session.destroy()
    await closed
  }

  dump (): unknown {
    return { port: this.port, ...this.traffic }
  }

  private trackSession (session: ServerHttp2Session): void {
    this.sessions.add(session)
    session.on('close', () => { this.sessions.delete(session) })
    session.on('error', () => {})
  }

  private countBytes (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => {
      this.sockets.delete(socket)
      this.closedBytes += socket.bytesRead + socket.bytesWritten
    })
  }
}
