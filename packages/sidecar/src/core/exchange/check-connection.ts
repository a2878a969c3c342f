import { connect } from 'node:net'
import { openConnectionMs, maxConnectionChecks } from './constants.js'

/** How an attempt to connect ended; 'reset' after a connection that did not stay open, as a server accepts that is about to end. */
type ConnectionCheck = 'open' | 'refused' | 'reset' | 'unknown'

/** Connects to `IP:PORT` and closes the connection. Resolves with whether it was refused; false if nothing shows that in time. */
export async function isConnectionRefused (address: string, timeoutMs: number): Promise<boolean> {
  for (let checks = 0; checks < maxConnectionChecks; checks++) {
    const check = await checkConnection(address, timeoutMs)
    if (check !== 'reset') return check === 'refused'
  }
  return false
}

async function checkConnection (address: string, timeoutMs: number): Promise<ConnectionCheck> {
  const colon = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), timeout: timeoutMs })
    const end = (check: ConnectionCheck): void => {
      socket.destroy()
      resolve(check)
    }
    let connected = false
    socket.once('connect', () => {
      connected = true
      socket.setTimeout(openConnectionMs)
    })
    socket.once('timeout', () => { end(connected ? 'open' : 'unknown') })
    socket.once('end', () => { end('reset') })
    socket.once('error', (error: NodeJS.ErrnoException) => { end(findCheck(error.code)) })
    socket.resume()
  })
}

function findCheck (errorCode: string | undefined): ConnectionCheck {
  switch (errorCode) {
    case 'ECONNREFUSED': return 'refused'
    case 'ECONNRESET':
    case 'EPIPE': return 'reset'
    default: return 'unknown'
  }
}
