import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Logger } from 'auburnturn/core/logger'
import { decodeMessage } from './messages.js'
import type { Message } from './messages.js'

/** Receives a message and the address of the node that sent it. */
export type MessageHandler = (ip: string, message: Message) => void

/** Sends and receives messages as datagrams on one port, the same on all nodes. */
export class DatagramTransport {
  private readonly socket: Socket
  private readonly port: number

  private constructor (socket: Socket, port: number) {
    this.socket = socket
    this.port = port
  }

  /** Resolves when the socket is bound. */
  static async create ({ ip, port, logger, onMessage: onMessage }: DatagramTransportOptions): Promise<DatagramTransport> {
    // Addresses are IP numbers: no name is looked up.
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

  /** Sends without waiting; a datagram that is lost is followed by the next heartbeat. */
  send (bytes: Buffer, ip: string): void {
    this.socket.send(bytes, this.port, ip, ignoreSendError)
  }

  close (): void {
    this.socket.close()
  }
}

/** An address out of reach shows by the silence of its node. */
function ignoreSendError (): void {}

interface DatagramTransportOptions {
  readonly ip: string
  readonly port: number
  readonly logger: Logger
  readonly onMessage: MessageHandler
}
