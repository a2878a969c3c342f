import { Agent } from 'node:http'
import type { AgentOptions } from 'node:http'
import type { Duplex } from 'node:stream'
import { connect } from 'node:net'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Clock } from 'auburnturn/core/clock'
import { messageBufferBytes, readBytes } from '../bodies/index.js'
import type { BodyLimits } from '../bodies/index.js'
import { idleTimeoutMs, idleCloseMarginMs } from './constants.js'
import type { ConnectionUse } from './types.js'

/** Keep-alive connections to one address. Each carries one request at a time; the most recently used one is reused first. */
export class ConnectionPool {
  /** `IP:PORT`. */
  readonly address: string
  readonly agent: Agent
  /** Limits the answer bodies that are being received, together with the other bodies of the process. */
  readonly bodyLimits: BodyLimits

  private readonly clock: Clock

  private constructor ({ address, limit, clock, bodyLimits }: ConnectionPoolOptions) {
    this.bodyLimits = bodyLimits
    this.address = address
    this.clock = clock
    this.agent = new KeepAliveAgent({ keepAlive: true, maxSockets: limit, maxFreeSockets: limit, scheduling: 'lifo', noDelay: true, timeout: idleTimeoutMs }, () => clock.now())
  }

  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  /** Closes all idle connections, for example when they may all have become unresponsive. */
  closeIdle (): void {
    for (const socket of this.listIdle()) socket.destroy()
  }

  /** Closes connections that have been idle for at least `milliseconds`: the server may have closed them by now. */
  closeIdleLongerThan (milliseconds: number): void {
    const now = this.clock.now()
    for (const socket of this.listIdle()) if (now - (idleSince.get(socket) ?? now) >= milliseconds) socket.destroy()
  }

  /** Counts a request on the connection of a socket; returns how the connection was used before. */
  recordUse (socket: Duplex): ConnectionUse {
    const now = this.clock.now()
    const { openedAt, requests } = history.get(socket) ?? { openedAt: now, requests: 0 }
    history.set(socket, { openedAt, requests: requests + 1 })
    return { earlierRequests: requests, ageMs: now - openedAt }
  }

  close (): void {
    this.agent.destroy()
  }

  /** Closes each connection as soon as no request uses it. */
  retire (): void {
    this.agent.maxFreeSockets = 0
    this.closeIdle()
  }

  private listIdle (): Socket[] {
    return Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])
  }
}

interface ConnectionPoolOptions {
  /** `IP:PORT`. */
  readonly address: string
  /** Maximum number of connections. */
  readonly limit: number
  readonly clock: Clock
  /** Shared by all connection pools of a process. */
  readonly bodyLimits: BodyLimits
}

/** Time at which each idle socket finished its last request, in clock milliseconds. */
const idleSince = new WeakMap<Duplex, number>()

/** When each socket began to connect, in clock milliseconds, and how many requests it has carried. */
const history = new WeakMap<Duplex, { readonly openedAt: number, readonly requests: number }>()

/** Sockets whose connection ended with a reset. */
const resetSockets = new WeakSet<Duplex>()

/** Whether the connection of a socket was reset. An answer without a length is then incomplete. */
export function wasReset (socket: Duplex): boolean {
  return resetSockets.has(socket)
}

/**
 * Node's HTTP agent, changed to close idle connections before the server does and to reuse none that hold unexpected
 * bytes.
 */
class KeepAliveAgent extends Agent {
  private readonly now: () => number

  constructor (options: AgentOptions, now: () => number) {
    super(options)
    this.now = now
  }

  override createConnection (options: NetConnectOpts): Socket {
    const socket = openSocket(options)
    history.set(socket, { openedAt: this.now(), requests: 0 })
    // These listeners are registered first, so that the HTTP client does not treat a reset as a regular end.
    socket.once('error', () => { resetSockets.add(socket) })
    // A reset that arrives together with data is reported as an end; the socket then has no remote address.
    socket.once('end', () => { if (socket.remoteAddress === undefined) resetSockets.add(socket) })
    return socket
  }

  override keepSocketAlive (socket: Duplex): boolean {
    const { timeout } = socket as Socket
    idleSince.set(socket, this.now())
    const kept = super.keepSocketAlive(socket as Socket) as unknown as boolean
    // Node has set the timeout that the server announced, if it is shorter.
    const hintedTimeoutMs = (socket as Socket).timeout
    if (kept && hintedTimeoutMs !== undefined && hintedTimeoutMs !== timeout) (socket as Socket).setTimeout(Math.max(1, hintedTimeoutMs - idleCloseMarginMs))
    // An idle socket goes on reading, and discards what nobody listens for.
    if (kept) socket.on('data', closeSocket)
    return kept
  }

  override reuseSocket (socket: Duplex, request: Parameters<Agent['reuseSocket']>[1]): void {
    socket.removeListener('data', closeSocket)
    super.reuseSocket(socket as Socket, request)
  }
}

/** Receives the bytes of each read, which are copied before the next one. */
const readBuffer = Buffer.allocUnsafeSlow(readBytes)

/** Opens a connection of which few bytes are read at once, so that a sender of many small pieces can be paused soon. */
function openSocket (options: NetConnectOpts): Socket {
  const receive = (bytes: number, buffer: Uint8Array): boolean => socket.push(Buffer.from(buffer.subarray(0, bytes)))
  const streamOptions = { ...options, highWaterMark: messageBufferBytes, onread: { buffer: readBuffer, callback: receive } }
  const socket: Socket = connect(streamOptions)
  return socket
}

/** Closes an idle connection on which bytes arrive: they belong to no request. */
function closeSocket (this: Duplex): void {
  this.destroy()
}
