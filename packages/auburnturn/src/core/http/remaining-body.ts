import type { IncomingMessage } from 'node:http'
import type { Clock } from '../clock/index.js'
import { lingerTimeoutMs, maxLingerBytes } from './constants.js'

/**
 * Reads and discards the rest of a request body after its answer, so that the connection can carry the next request.
 * Closes the connection if more than `maxLingerBytes` follow or they take longer than `lingerTimeoutMs`.
 */
export function discardRemainingBody (request: IncomingMessage, clock: Clock): void {
  if (request.complete || request.destroyed) {
    request.resume()
    return
  }
  let discardedBytes = 0
  const close = (): void => { request.socket.destroy() }
  const timer = clock.timerWheel.after(lingerTimeoutMs, close)
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length
    if (discardedBytes > maxLingerBytes) close()
  })
  request.once('end', () => { timer.cancel() })
  request.once('close', () => { timer.cancel() })
  request.resume()
}
