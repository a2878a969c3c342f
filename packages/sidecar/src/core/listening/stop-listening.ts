import { Server as TcpServer } from 'node:net'

/** Turns of the loop after which listening ends, though connections still come. */
const maxLoopIterations = 200

/**
 * Stops listening as soon as all connections that wait to be taken were; those that are open go on. Closing a
 * listening socket resets what waits there, and the runtime takes only a few of them in each turn of its loop.
 */
export async function stopListening (server: TcpServer): Promise<void> {
  let taken = 0
  const count = (): void => { taken++ }
  server.on('connection', count)
  let before = -1
  for (let turn = 0; turn < maxLoopIterations && before !== taken; turn++) {
    before = taken
    await new Promise(resolve => setImmediate(resolve))
  }
  server.off('connection', count)
  // An HTTP server would close its idle connections too, new ones among them.
  TcpServer.prototype.close.call(server)
}
