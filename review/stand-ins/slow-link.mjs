import { connect, createServer } from 'node:net'
import { listen } from './net.mjs'

/** Interval at which a link carries bytes, in milliseconds. */
const tickMs = 20

/** A link with a bandwidth: a proxy that passes the bytes of an answer on at a fixed rate, and reads no faster. */
export class SlowLink {
  static async create ({ ip, toIp, toPort, megabitsPerS }) {
    const link = new SlowLink()
    const bytesPerTick = Math.floor(megabitsPerS * 1e6 / 8 * tickMs / 1_000)
    link.server = createServer({ allowHalfOpen: true }, client => {
      const node = connect({ host: toIp, port: toPort, allowHalfOpen: true })
      client.pipe(node)
      carry(node, client, bytesPerTick)
      client.on('error', () => { node.destroy() })
      client.once('close', () => { node.destroy() })
    })
    link.port = await listen(link.server, ip)
    return link
  }

  close () {
    this.server.close()
  }
}

/** Passes at most `bytesPerTick` on in each interval; a reset follows the bytes that arrived before it. */
function carry (from, to, bytesPerTick) {
  from.pause()
  let ending
  from.once('end', () => { ending ??= () => { to.end() } })
  from.once('error', () => { ending = () => { to.resetAndDestroy() } })
  const timer = setInterval(() => {
    const chunk = from.read(Math.min(bytesPerTick, from.readableLength)) ?? from.read(0)
    if (chunk !== null && chunk.length > 0) to.write(chunk)
    if (ending === undefined || from.readableLength > 0) return
    clearInterval(timer)
    ending()
  }, tickMs)
  to.once('close', () => { clearInterval(timer) })
}
