import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { ports } from './constants.js'
import type { Place } from './places.js'

/** Carries datagrams between the VMs under the addresses of their links, and loses some. */
export class DatagramRelay {
  /** Indexes of VMs that send and receive none. */
  readonly lost = new Set<number>()
  private readonly sockets: Socket[] = []
  private readonly places: readonly Place[]

  private constructor (places: readonly Place[]) {
    this.places = places
  }

  static async create (places: readonly Place[]): Promise<DatagramRelay> {
    const relay = new DatagramRelay(places)
    const byIp = new Map(places.map(place => [place.ip, place]))
    await Promise.all(places.map(async place => {
      const socket = createSocket({ type: 'udp4', lookup: (address, _options, callback) => { callback(null, address, 4) } })
      socket.on('message', (bytes, { address }) => {
        const sender = byIp.get(address)
        if (sender !== undefined) relay.pass(sender, place, bytes)
      })
      relay.sockets[place.index] = socket
      await new Promise<void>(resolve => { socket.bind(ports.internal, place.linkIp, resolve) })
    }))
    return relay
  }

  close (): void {
    for (const socket of this.sockets) socket.close()
  }

  /** The receiver sees the address under which it knows the sender. */
  private pass (sender: Place, receiver: Place, bytes: Buffer): void {
    if (this.lost.has(sender.index) || this.lost.has(receiver.index)) return
    this.sockets[sender.index]?.send(bytes, ports.internal, this.places[receiver.index]?.ip)
  }
}
