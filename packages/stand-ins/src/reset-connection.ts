import type { Socket } from 'node:net'

/**
 * Resets the connection of a socket, or closes one that has begun to end: Node never closes a socket that is reset while its end is
 * under way, and its process then does not end by itself.
 */
export function resetConnection (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
