import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** What a link does to the bytes that pass it. */
export type LinkState = 'open' | 'swallow-requests' | 'swallow-answers' | 'swallow-all'

/** A TCP connection over loopback that can be delayed, reset, silenced and cut in one direction or both. */
export class Link {
  state: LinkState = 'open'
  /** Milliseconds by which bytes are held back. */
  delayMs = 0
  private readonly server: Server
  private readonly pairs = new Map<Socket, Socket>()
  private readonly silent = new WeakSet<Socket>()
  private readonly sockets = new Set<Socket>()

  private constructor (options: LinkOptions) {
    this.server = createServer(near => { this.join(near, connect(options.port, options.to)) })
  }

  /** Resolves when it listens at `ip` and passes on to the same port at `to`. */
  static async create (options: LinkOptions): Promise<Link> {
    const link = new Link(options)
    await new Promise<void>((resolve, reject) => { link.server.once('error', reject).listen(options.port, options.ip, resolve) })
    return link
  }

  /** Resets all connections; new ones work. */
  reset (): void {
    for (const [near, far] of this.pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  /** Nothing passes over the connections of now any more; new ones work. */
  silence (): void {
    for (const near of this.pairs.keys()) this.silent.add(near)
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private join (near: Socket, far: Socket): void {
    this.pairs.set(near, far)
    for (const socket of [near, far]) {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    }
    this.pass(near, far, near, 'swallow-requests')
    this.pass(far, near, near, 'swallow-answers')
    near.once('close', () => { this.pairs.delete(near) })
  }

  /** Carries one direction of the connection that `near` began. */
  private pass (from: Socket, to: Socket, near: Socket, swallow: LinkState): void {
    const isSwallowed = (): boolean => this.silent.has(near) || this.state === swallow || this.state === 'swallow-all'
    const later = (action: () => void): void => {
      if (this.delayMs === 0) action()
      else setTimeout(action, this.delayMs)
    }
    from.setNoDelay(true)
    from.on('data', chunk => { later(() => { if (!isSwallowed()) to.write(chunk) }) })
    from.on('end', () => { later(() => { if (!isSwallowed()) to.end() }) })
    from.on('error', () => { if (!isSwallowed()) to.resetAndDestroy() })
    from.on('close', hadError => { if (!isSwallowed() && !hadError) later(() => { to.destroySoon() }) })
  }
}

interface LinkOptions {
  /** Where it listens. */
  readonly ip: string
  readonly port: number
  /** Address that it leads to. */
  readonly to: string
}
