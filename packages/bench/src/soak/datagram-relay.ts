import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { ports } from './constants.js'
import type { VmSpec } from './vm-spec.js'

/** Forwards datagrams between VMs through their proxy addresses, and drops those of disconnected VMs. */
export class DatagramRelay {
  /** Indexes of VMs whose datagrams are dropped in both directions. */
  readonly disconnectedVms = new Set<number>()
  private readonly sockets: Socket[] = []
  private readonly specs: readonly VmSpec[]

  private constructor (specs: readonly VmSpec[]) {
    this.specs = specs
  }

  static async create (specs: readonly VmSpec[]): Promise<DatagramRelay> {
    const relay = new DatagramRelay(specs)
    const specsByIp = new Map(specs.map(spec => [spec.ip, spec]))
    await Promise.all(specs.map(async spec => {
      const socket = createSocket({ type: 'udp4', lookup: (address, _options, callback) => { callback(null, address, 4) } })
      socket.on('message', (message, { address }) => {
        const sender = specsByIp.get(address)
        if (sender !== undefined) relay.forward(sender, spec, message)
      })
      relay.sockets[spec.index] = socket
      await new Promise<void>(resolve => { socket.bind(ports.internal, spec.proxyIp, resolve) })
    }))
    return relay
  }

  close (): void {
    for (const socket of this.sockets) socket.close()
  }

  /** Sends from the proxy address of the sender, because the receiver identifies the sender by that address. */
  private forward (sender: VmSpec, receiver: VmSpec, message: Buffer): void {
    if (this.disconnectedVms.has(sender.index) || this.disconnectedVms.has(receiver.index)) return
    this.sockets[sender.index]?.send(message, ports.internal, this.specs[receiver.index]?.ip)
  }
}
