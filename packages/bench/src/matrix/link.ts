import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** Sees what passes over a link before it is passed on. */
export interface Watcher {
  readonly connected?: () => void
  readonly forward?: (text: string) => void
  readonly back?: (text: string) => void
}

/** A TCP connection between two parts that can be held, cut and refused; a fake of the network. */
export class Link {
  private to: number
  private readonly ip: string
  private server: Server
  private readonly sockets = new Set<Socket>()
  private readonly watcher: Watcher
  private held: Array<() => void> | undefined
  private boundPort = 0
  private closed = false

  private constructor (ip: string, to: number, watcher: Watcher) {
    this.ip = ip
    this.to = to
    this.watcher = watcher
    this.server = createServer(socket => { this.accept(socket) })
  }

  /** Listens on a port of its own at `ip` and passes on to the port `to` there. */
  static async create (ip: string, to: number, watcher: Watcher = {}): Promise<Link> {
    const link = new Link(ip, to, watcher)
    await link.listen()
    return link
  }

  get port (): number { return this.boundPort }

  /** New connections go to another port from now on. */
  pointTo (to: number): void {
    this.to = to
  }

  /** Resets every connection; new ones are still accepted. */
  cut (): void {
    this.held = this.held === undefined ? undefined : []
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Stops listening, so that new connections are refused; those that exist go on. */
  refuse (): void {
    this.server.close()
  }

  /** Listens again on the same port. */
  async restore (): Promise<void> {
    if (this.closed || this.server.listening) return
    this.server = createServer(socket => { this.accept(socket) })
    await this.listen().catch(() => {})
  }

  /** Keeps back everything in both directions, as between paused or parted machines. */
  hold (): void {
    this.held ??= []
  }

  /** Passes on what was kept back. */
  release (): void {
    const held = this.held ?? []
    this.held = undefined
    for (const action of held) action()
  }

  async close (): Promise<void> {
    this.closed = true
    this.held = undefined
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

  private accept (near: Socket): void {
    this.track(near)
    this.watcher.connected?.()
    const joined: { far?: Socket } = {}
    this.pass(() => {
      if (near.destroyed) return
      joined.far = connect(this.to, this.ip)
      this.track(joined.far)
      this.join(joined.far, () => near, this.watcher.back)
    })
    this.join(near, () => joined.far, this.watcher.forward)
  }

  private join (from: Socket, to: () => Socket | undefined, watch: ((text: string) => void) | undefined): void {
    from.setNoDelay(true)
    from.on('data', chunk => {
      watch?.(chunk.toString('latin1'))
      this.pass(() => { if (to()?.destroyed === false) to()?.write(chunk) })
    })
    from.on('end', () => { this.pass(() => { to()?.end() }) })
    from.on('close', () => { this.pass(() => { to()?.destroy() }) })
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
  }

  private pass (action: () => void): void {
    if (this.held === undefined) action()
    else this.held.push(action)
  }
}
