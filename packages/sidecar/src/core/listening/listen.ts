import type { Server } from 'node:net'

/** Makes a server listen at an address; resolves when it listens, rejects if it can't. */
export async function listen (server: Server, ip: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(port, ip, resolve) })
}
