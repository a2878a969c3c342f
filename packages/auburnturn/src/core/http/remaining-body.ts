import type { IncomingMessage } from 'node:http'
import { PacedSource } from '../bodies/index.js'
import type { ReadPace } from '../bodies/index.js'
import { lingerTimeoutMs, maxLingerBytes } from './constants.js'

/**
 * Reads and discards the rest of a request body after its answer, so that the connection can carry the next request.
 * Closes the connection if more than `maxLingerBytes` follow or they take longer than `lingerTimeoutMs`.
 */
export function discardRemainingBody (request: IncomingMessage, pace: ReadPace): void {
  if (request.complete || request.destroyed) {
    request.resume()
    return
  }
  let discardedBytes = 0
  const close = (): void => { request.socket.destroy() }
  const timer = pace.clock.timerWheel.after(lingerTimeoutMs, close)
  const source = PacedSource.create({ source: request, pace })
  const stop = (): void => {
    timer.cancel()
    source.close()
  }
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length
    source.count(chunk.length)
    if (discardedBytes > maxLingerBytes) close()
  })
  request.once('end', stop)
  request.once('close', stop)
  request.resume()
}
