import { Agent } from 'node:http'
import type { AgentOptions } from 'node:http'
import type { Duplex } from 'node:stream'
import { connect } from 'node:net'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Clock } from 'auburnturn/core/clock'
import type { BodyMemory } from './body-memory.js'
import { idleTimeoutMs, idleCloseMarginMs } from './constants.js'

/** Kept-alive connections to one address, the one used last first, each with one request at a time. */
export class ConnectionPool {
  /** `IP:PORT`. */
  readonly address: string
  readonly agent: Agent
  /** Bounds the bodies of answers on their way, here and elsewhere. */
  readonly memory: BodyMemory

  private readonly clock: Clock

  private constructor ({ address, limit, clock, memory }: ConnectionPoolOptions) {
    this.memory = memory
    this.address = address
    this.clock = clock
    this.agent = new KeepAliveAgent({ keepAlive: true, maxSockets: limit, maxFreeSockets: limit, scheduling: 'lifo', noDelay: true, timeout: idleTimeoutMs }, () => clock.now())
  }

  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  /** Closes those that carry no request, as when they may all have fallen silent. */
  closeIdle (): void {
    for (const socket of this.listIdle()) socket.destroy()
  }

  /** Closes those that have carried no request for `milliseconds`: the server may have forgotten them by now. */
  closeIdleLongerThan (milliseconds: number): void {
    const now = this.clock.now()
    for (const socket of this.listIdle()) if (now - (idleSince.get(socket) ?? now) >= milliseconds) socket.destroy()
  }

  close (): void {
    this.agent.destroy()
  }

  private listIdle (): Socket[] {
    return Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])
  }
}

interface ConnectionPoolOptions {
  /** `IP:PORT`. */
  readonly address: string
  /** Most connections at a time. */
  readonly limit: number
  readonly clock: Clock
  /** Shared by all connections of a process. */
  readonly memory: BodyMemory
}

/** When each idle socket carried its last request, in clock milliseconds. */
const idleSince = new WeakMap<Duplex, number>()

/** Sockets that ended with a reset. */
const resetSockets = new WeakSet<Duplex>()

/** Whether a socket ended with a reset: an answer without length that ended with it is not whole. */
export function wasReset (socket: Duplex): boolean {
  return resetSockets.has(socket)
}

/** Node's agent, which leaves idle connections before the server does and reuses none with stray bytes. */
class KeepAliveAgent extends Agent {
  private readonly now: () => number

  constructor (options: AgentOptions, now: () => number) {
    super(options)
    this.now = now
  }

  override createConnection (options: NetConnectOpts): Socket {
    const socket = connect(options)
    // First listeners: the HTTP client must not take a reset for an end.
    socket.once('error', () => { resetSockets.add(socket) })
    // A reset that comes together with data is reported as an end; such a socket has no peer any more.
    socket.once('end', () => { if (socket.remoteAddress === undefined) resetSockets.add(socket) })
    return socket
  }

  override keepSocketAlive (socket: Duplex): boolean {
    const { timeout } = socket as Socket
    idleSince.set(socket, this.now())
    const kept = super.keepSocketAlive(socket as Socket) as unknown as boolean
    const hinted = (socket as Socket).timeout
    if (kept && hinted !== undefined && hinted !== timeout) (socket as Socket).setTimeout(Math.max(1, hinted - idleCloseMarginMs))
    return kept
  }

  override reuseSocket (socket: Duplex, request: Parameters<Agent['reuseSocket']>[1]): void {
    super.reuseSocket(socket as Socket, request)
    // Bytes that wait here belong to no request.
    if (socket.readableLength > 0) socket.destroy()
  }
}
