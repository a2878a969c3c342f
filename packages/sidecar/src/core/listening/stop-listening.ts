import { Server as TcpServer } from 'node:net'

/** Maximum iterations of the event loop before listening stops, even if new connections still arrive. */
const maxLoopIterations = 200

/**
 * Stops listening once all connections that wait to be accepted have been accepted; open connections continue. Closing
 * a listening socket resets the connections in its backlog, and Node accepts only a few of them in each iteration of
 * the event loop.
 */
export async function stopListening (server: TcpServer): Promise<void> {
  let accepted = 0
  const count = (): void => { accepted++ }
  server.on('connection', count)
  let previouslyAccepted = -1
  for (let iteration = 0; iteration < maxLoopIterations && previouslyAccepted !== accepted; iteration++) {
    previouslyAccepted = accepted
    await new Promise(resolve => setImmediate(resolve))
  }
  server.off('connection', count)
  // The close method of an HTTP server would also close its idle connections, including newly accepted ones.
  TcpServer.prototype.close.call(server)
}
