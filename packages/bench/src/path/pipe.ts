/** Lower bound of one hop: a separate process that forwards bytes between sockets without parsing them. Prints its port. */
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { ip } from './constants.js'

const upstreamPort = Number(process.argv[2])
const server = createServer({ noDelay: true }, socket => {
  const upstream = connect({ port: upstreamPort, host: ip, noDelay: true })
  socket.on('error', () => { upstream.destroy() })
  upstream.on('error', () => { socket.destroy() })
  socket.pipe(upstream).pipe(socket)
})
server.listen(0, ip, () => { process.stdout.write(`${(server.address() as AddressInfo).port}\n`) })
process.once('SIGTERM', () => { process.exit(0) })
