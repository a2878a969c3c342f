import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Logger } from 'auburnturn/core/logger'
import { decodeMessage } from './messages.js'
import type { Message } from './messages.js'

/** Called with a received message and the address of the sender. */
export type MessageHandler = (ip: string, message: Message) => void

/** Sends and receives messages as UDP datagrams on one port, the same on all nodes. */
export class DatagramTransport {
  private readonly socket: Socket
  private readonly port: number

  private constructor (socket: Socket, port: number) {
    this.socket = socket
    this.port = port
  }

  /** Resolves when the socket is bound. */
  static async create ({ ip, port, logger, onMessage }: DatagramTransportOptions): Promise<DatagramTransport> {
    // All addresses are IP addresses, so name resolution is bypassed.
    const socket = createSocket({ type: 'udp4', lookup: (address, _options, callback) => { callback(null, address, 4) } })
    socket.on('error', error => { logger.warn('datagram-failed', { error: error.message }) })
    socket.on('message', (bytes, { address }) => {
      const message = decodeMessage(bytes)
      if (message === undefined) logger.warn('datagram-unreadable', { from: address, bytes: bytes.length })
      else onMessage(address, message)
    })
    await new Promise<void>(resolve => { socket.bind(port, ip, resolve) })
    return new DatagramTransport(socket, port)
  }

  /** Sends a datagram without waiting for the result. A lost one is not repeated; the next heartbeat replaces it. */
  send (bytes: Buffer, ip: string): void {
    this.socket.send(bytes, this.port, ip, ignoreSendError)
  }

  close (): void {
    this.socket.close()
  }
}

/** Errors on sending are ignored: an unreachable node is detected by its missing reports. */
function ignoreSendError (): void {}

interface DatagramTransportOptions {
  readonly ip: string
  readonly port: number
  readonly logger: Logger
  readonly onMessage: MessageHandler
}
