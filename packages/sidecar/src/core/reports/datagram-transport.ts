import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { DatagramOrder, DatagramStamps, readStamp, stampBytes } from '../attribution/index.js'
import { decodeMessage } from './messages.js'
import type { Message } from './messages.js'

/** Called with a received message and the address of the sender. */
export type MessageHandler = (ip: string, message: Message) => void

/** Sends and receives messages as UDP datagrams on one port, the same on all nodes. */
export class DatagramTransport {
  private readonly socket: Socket
  private readonly port: number
  private readonly stamps: DatagramStamps

  private constructor (socket: Socket, port: number, stamps: DatagramStamps) {
    this.socket = socket
    this.port = port
    this.stamps = stamps
  }

  /** Resolves when the socket is bound. */
  static async create ({ ip, port, clock, random, logger, onMessage }: DatagramTransportOptions): Promise<DatagramTransport> {
    // All addresses are IP addresses, so name resolution is bypassed.
    const socket = createSocket({ type: 'udp4', lookup: (address, _options, callback) => { callback(null, address, 4) } })
    socket.on('error', error => { logger.warn('datagram-failed', { error: error.message }) })
    const order = DatagramOrder.create()
    socket.on('message', (bytes, { address }) => {
      const stamp = readStamp(bytes)
      const message = decodeMessage(bytes.subarray(stampBytes))
      if (stamp === undefined || message === undefined) return logger.warn('datagram-unreadable', { from: address, bytes: bytes.length })
      const stream = findStream(message)
      if (stream !== undefined && !order.accept(`${stream} ${address}`, stamp, clock.now())) return logger.info('datagram-outdated', { from: address, kind: message.kind })
      onMessage(address, message)
    })
    await new Promise<void>(resolve => { socket.bind(port, ip, resolve) })
    return new DatagramTransport(socket, port, DatagramStamps.create({ random }))
  }

  /** Sends a datagram without waiting for the result. A lost one is not repeated; the next heartbeat replaces it. */
  send (bytes: Buffer, ip: string): void {
    this.socket.send([this.stamps.stamp(bytes), bytes], this.port, ip, ignoreSendError)
  }

  close (): void {
    this.socket.close()
  }
}

/**
 * Messages of one stream replace each other, so that an outdated one changes nothing. A subscription may be repeated, changes
 * have their order in the revisions of the store, and what nodes know of crashes merges in any order.
 */
function findStream (message: Message): 'report' | 'notice' | undefined {
  switch (message.kind) {
    case 'full':
    case 'short': return 'report'
    case 'reader': return 'notice'
    case 'subscription':
    case 'changes':
    case 'crash':
    case 'crash-digest': return undefined
  }
}

/** Errors on sending are ignored: an unreachable node is detected by its missing reports. */
function ignoreSendError (): void {}

interface DatagramTransportOptions {
  readonly ip: string
  readonly port: number
  readonly clock: Clock
  /** Chooses the number of this process. */
  readonly random: Random
  readonly logger: Logger
  readonly onMessage: MessageHandler
}
