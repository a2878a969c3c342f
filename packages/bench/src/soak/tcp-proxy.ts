import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** What a link does to the bytes that pass it. */
export type ProxyState = 'open' | 'swallow-requests' | 'swallow-answers' | 'swallow-all'

/** A TCP connection over loopback that can be delayed, reset, silenced and cut in one direction or both. */
export class TcpProxy {
  state: ProxyState = 'open'
  /** Milliseconds by which bytes are held back. */
  delayMs = 0
  private readonly server: Server
  private readonly serverSockets = new Map<Socket, Socket>()
  private readonly blackholed = new WeakSet<Socket>()
  private readonly sockets = new Set<Socket>()

  private constructor (options: TcpProxyOptions) {
    this.server = createServer(clientSocket => { this.forwardConnection(clientSocket, connect(options.port, options.targetIp)) })
  }

  /** Resolves when it listens at `ip` and passes on to the same port at `to`. */
  static async create (options: TcpProxyOptions): Promise<TcpProxy> {
    const proxy = new TcpProxy(options)
    await new Promise<void>((resolve, reject) => { proxy.server.once('error', reject).listen(options.port, options.ip, resolve) })
    return proxy
  }

  /** Resets all connections; new ones work. */
  resetConnections (): void {
    for (const [clientSocket, serverSocket] of this.serverSockets) {
      clientSocket.resetAndDestroy()
      serverSocket.resetAndDestroy()
    }
  }

  /** Nothing passes over the connections of now any more; new ones work. */
  blackholeConnections (): void {
    for (const clientSocket of this.serverSockets.keys()) this.blackholed.add(clientSocket)
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private forwardConnection (clientSocket: Socket, serverSocket: Socket): void {
    this.serverSockets.set(clientSocket, serverSocket)
    for (const socket of [clientSocket, serverSocket]) {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    }
    this.forwardDirection(clientSocket, serverSocket, clientSocket, 'swallow-requests')
    this.forwardDirection(serverSocket, clientSocket, clientSocket, 'swallow-answers')
    clientSocket.once('close', () => { this.serverSockets.delete(clientSocket) })
  }

  /** Carries one direction of the connection that `near` began. */
  private forwardDirection (from: Socket, to: Socket, clientSocket: Socket, droppedIn: ProxyState): void {
    const isDropped = (): boolean => this.blackholed.has(clientSocket) || this.state === droppedIn || this.state === 'swallow-all'
    const runDelayed = (action: () => void): void => {
      if (this.delayMs === 0) action()
      else setTimeout(action, this.delayMs)
    }
    from.setNoDelay(true)
    from.on('data', chunk => { runDelayed(() => { if (!isDropped()) to.write(chunk) }) })
    from.on('end', () => { runDelayed(() => { if (!isDropped()) to.end() }) })
    from.on('error', () => { if (!isDropped()) to.resetAndDestroy() })
    from.on('close', hadError => { if (!isDropped() && !hadError) runDelayed(() => { to.destroySoon() }) })
  }
}

interface TcpProxyOptions {
  /** Where it listens. */
  readonly ip: string
  readonly port: number
  /** Address that it leads to. */
  readonly targetIp: string
}
