import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { resetConnection } from '@auburnturn/stand-ins'

/** Receives the traffic of a proxy before it is forwarded; text is decoded as Latin-1. */
export interface TrafficObserver {
  readonly onConnection?: () => void
  readonly onRequestData?: (text: string) => void
  readonly onResponseData?: (text: string) => void
}

/** TCP proxy that simulates network faults: it can hold traffic back, reset connections and refuse new ones. */
export class TcpProxy {
  private targetPort: number
  private readonly ip: string
  private server: Server
  private readonly sockets = new Set<Socket>()
  private readonly observer: TrafficObserver
  private heldActions: Array<() => void> | undefined
  private boundPort = 0
  private closed = false

  private constructor (ip: string, targetPort: number, observer: TrafficObserver) {
    this.ip = ip
    this.targetPort = targetPort
    this.observer = observer
    this.server = createServer(socket => { this.accept(socket) })
  }

  /** Starts a proxy that listens on a free port of `ip` and forwards connections to `targetPort` of the same address. */
  static async create (ip: string, targetPort: number, observer: TrafficObserver = {}): Promise<TcpProxy> {
    const proxy = new TcpProxy(ip, targetPort, observer)
    await proxy.listen()
    return proxy
  }

  get port (): number { return this.boundPort }

  /** Forwards new connections to another port. */
  setTargetPort (targetPort: number): void {
    this.targetPort = targetPort
  }

  /** Resets every open connection and drops the held-back traffic; new connections are still accepted. */
  resetConnections (): void {
    this.heldActions = this.heldActions === undefined ? undefined : []
    for (const socket of this.sockets) resetConnection(socket)
  }

  /** Stops listening, so that new connections are refused; open connections continue. */
  stopListening (): void {
    this.server.close()
  }

  /** Listens again on the same port; has no effect once the proxy is closed. */
  async resumeListening (): Promise<void> {
    if (this.closed || this.server.listening) return
    this.server = createServer(socket => { this.accept(socket) })
    await this.listen().catch(() => {})
  }

  /** Holds back the traffic in both directions, as between paused or partitioned machines. */
  holdTraffic (): void {
    this.heldActions ??= []
  }

  /** Forwards the held-back traffic in its original order and stops holding traffic. */
  releaseTraffic (): void {
    const actions = this.heldActions ?? []
    this.heldActions = undefined
    for (const action of actions) action()
  }

  async close (): Promise<void> {
    this.closed = true
    this.heldActions = undefined
    const closed = this.server.listening ? new Promise<void>(resolve => { this.server.close(() => { resolve() }) }) : Promise.resolve()
    for (const socket of this.sockets) socket.destroy()
    await closed
  }

  private async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.boundPort, this.ip, resolve)
    })
    this.boundPort = (this.server.address() as AddressInfo).port
  }

  private accept (clientSocket: Socket): void {
    this.track(clientSocket)
    this.observer.onConnection?.()
    const upstream: { socket?: Socket } = {}
    this.runOrHold(() => {
      if (clientSocket.destroyed) return
      upstream.socket = connect(this.targetPort, this.ip)
      this.track(upstream.socket)
      this.forwardData(upstream.socket, () => clientSocket, this.observer.onResponseData)
    })
    this.forwardData(clientSocket, () => upstream.socket, this.observer.onRequestData)
  }

  /** Forwards data and the end of `from` to the other socket, which may not be connected yet. */
  private forwardData (from: Socket, to: () => Socket | undefined, onData: ((text: string) => void) | undefined): void {
    from.setNoDelay(true)
    from.on('data', chunk => {
      onData?.(chunk.toString('latin1'))
      this.runOrHold(() => { if (to()?.destroyed === false) to()?.write(chunk) })
    })
    from.on('end', () => { this.runOrHold(() => { to()?.end() }) })
    from.on('close', () => { this.runOrHold(() => { to()?.destroy() }) })
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
  }

  /** Runs an action, or holds it back until the traffic is released. */
  private runOrHold (action: () => void): void {
    if (this.heldActions === undefined) action()
    else this.heldActions.push(action)
  }
}
