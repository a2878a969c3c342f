import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Resolves when a response has been handed to the operating system as a whole, or when its connection has closed. Node.js reports the
 * latter only to the response that is being written, and not to those of the requests behind it.
 */
export async function waitUntilSent ({ socket }: IncomingMessage, response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed || socket.destroyed) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      socket.off('close', finish)
      response.off('finish', finish).off('close', finish)
      resolve()
    }
    socket.once('close', finish)
    response.once('finish', finish).once('close', finish)
  })
}
