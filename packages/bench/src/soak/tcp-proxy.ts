import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { resetConnection } from '@auburnturn/stand-ins'

/** Which bytes a proxy discards: none, those of one direction, or all. */
export type ProxyState = 'open' | 'swallow-requests' | 'swallow-answers' | 'swallow-all'

/** TCP proxy on loopback that can delay traffic, reset connections, and discard bytes in one direction or both. */
export class TcpProxy {
  state: ProxyState = 'open'
  /** Delay of forwarded bytes, in milliseconds. */
  delayMs = 0
  private readonly server: Server
  private readonly serverSockets = new Map<Socket, Socket>()
  private readonly blackholed = new WeakSet<Socket>()
  private readonly sockets = new Set<Socket>()

  private constructor (options: TcpProxyOptions) {
    this.server = createServer(clientSocket => { this.forwardConnection(clientSocket, connect(options.port, options.targetIp)) })
  }

  /** Resolves when the proxy listens on `ip`; it forwards to the same port on `targetIp`. */
  static async create (options: TcpProxyOptions): Promise<TcpProxy> {
    const proxy = new TcpProxy(options)
    await new Promise<void>((resolve, reject) => { proxy.server.once('error', reject).listen(options.port, options.ip, resolve) })
    return proxy
  }

  /** Resets all open connections; new ones are forwarded. */
  resetConnections (): void {
    for (const [clientSocket, serverSocket] of this.serverSockets) {
      resetConnection(clientSocket)
      resetConnection(serverSocket)
    }
  }

  /** Discards all further bytes of the connections that are open now, without closing them; new ones are forwarded. */
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

  /** Forwards one direction of a connection; discards it in `discardingState`, in `swallow-all`, and when blackholed. */
  private forwardDirection (from: Socket, to: Socket, clientSocket: Socket, discardingState: ProxyState): void {
    const isDiscarded = (): boolean => this.blackholed.has(clientSocket) || this.state === discardingState || this.state === 'swallow-all'
    const runDelayed = (action: () => void): void => {
      if (this.delayMs === 0) action()
      else setTimeout(action, this.delayMs)
    }
    from.setNoDelay(true)
    from.on('data', chunk => { runDelayed(() => { if (!isDiscarded()) to.write(chunk) }) })
    from.on('end', () => { runDelayed(() => { if (!isDiscarded()) to.end() }) })
    from.on('error', () => { if (!isDiscarded()) resetConnection(to) })
    from.on('close', hadError => { if (!isDiscarded() && !hadError) runDelayed(() => { to.destroySoon() }) })
  }
}

interface TcpProxyOptions {
  /** Address to listen on. */
  readonly ip: string
  readonly port: number
  /** Address to forward to, on the same port. */
  readonly targetIp: string
}
