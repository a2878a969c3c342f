import { connect } from 'node:net'

/** Opens a connection to `IP:PORT` and closes it again. Resolves with whether it was refused; false if nothing answers in time. */
export async function isConnectionRefused (address: string, timeoutMs: number): Promise<boolean> {
  const colon = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), timeout: timeoutMs })
    const end = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.once('connect', () => { end(false) })
    socket.once('timeout', () => { end(false) })
    socket.once('error', () => { end(true) })
  })
}
