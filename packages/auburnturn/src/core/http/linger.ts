import type { IncomingMessage } from 'node:http'
import type { Clock } from '../clock/index.js'
import { lingerBytes, lingerMs } from './constants.js'

/**
 * Reads and discards what is left of a request body after its answer, so that the connection can carry
 * the next request; closes the connection when too much is left or it comes too slowly.
 */
export function discardRest (request: IncomingMessage, clock: Clock): void {
  if (request.complete || request.destroyed) {
    request.resume()
    return
  }
  let bytes = 0
  const close = (): void => { request.socket.destroy() }
  const timer = clock.timerWheel.after(lingerMs, close)
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > lingerBytes) close()
  })
  request.once('end', () => { timer.cancel() })
  request.once('close', () => { timer.cancel() })
  request.resume()
}
