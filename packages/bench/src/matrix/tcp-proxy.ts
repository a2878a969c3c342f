import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** Sees what passes over a link before it is passed on. */
export interface TrafficObserver {
  readonly onConnection?: () => void
  readonly onRequestData?: (text: string) => void
  readonly onResponseData?: (text: string) => void
}

/** A TCP connection between two parts that can be held, cut and refused; a fake of the network. */
export class TcpProxy {
  private targetPort: number
  private readonly ip: string
  private server: Server
  private readonly sockets = new Set<Socket>()
  private readonly observer: TrafficObserver
  private heldActions: Array<() => void> | undefined
  private boundPort = 0
  private closed = false

  private constructor (ip: string, to: number, watcher: TrafficObserver) {
    this.ip = ip
    this.targetPort = to
    this.observer = watcher
    this.server = createServer(socket => { this.accept(socket) })
  }

  /** Listens on a port of its own at `ip` and passes on to the port `to` there. */
  static async create (ip: string, to: number, watcher: TrafficObserver = {}): Promise<TcpProxy> {
    const link = new TcpProxy(ip, to, watcher)
    await link.listen()
    return link
  }

  get port (): number { return this.boundPort }

  /** New connections go to another port from now on. */
  setTargetPort (to: number): void {
    this.targetPort = to
  }

  /** Resets every connection; new ones are still accepted. */
  resetConnections (): void {
    this.heldActions = this.heldActions === undefined ? undefined : []
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Stops listening, so that new connections are refused; those that exist go on. */
  stopListening (): void {
    this.server.close()
  }

  /** Listens again on the same port. */
  async resumeListening (): Promise<void> {
    if (this.closed || this.server.listening) return
    this.server = createServer(socket => { this.accept(socket) })
    await this.listen().catch(() => {})
  }

  /** Keeps back everything in both directions, as between paused or parted machines. */
  holdTraffic (): void {
    this.heldActions ??= []
  }

  /** Passes on what was kept back. */
  releaseTraffic (): void {
    const held = this.heldActions ?? []
    this.heldActions = undefined
    for (const action of held) action()
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
    const joined: { far?: Socket } = {}
    this.runOrHold(() => {
      if (clientSocket.destroyed) return
      joined.far = connect(this.targetPort, this.ip)
      this.track(joined.far)
      this.forwardData(joined.far, () => clientSocket, this.observer.onResponseData)
    })
    this.forwardData(clientSocket, () => joined.far, this.observer.onRequestData)
  }

  private forwardData (from: Socket, to: () => Socket | undefined, watch: ((text: string) => void) | undefined): void {
    from.setNoDelay(true)
    from.on('data', chunk => {
      watch?.(chunk.toString('latin1'))
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

  private runOrHold (action: () => void): void {
    if (this.heldActions === undefined) action()
    else this.heldActions.push(action)
  }
}
