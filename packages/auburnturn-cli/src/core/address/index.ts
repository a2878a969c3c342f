/** Parses the addresses that users give on the command line. */
import { isIP } from 'node:net'
import { Fault } from 'auburnturn'

const maxPort = 65_535
const addressPattern = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/

/** Returns the HTTP origin of `IP:PORT` or `[IPV6]:PORT`; throws an `address-invalid` fault for anything else. */
export function parseOrigin (address: string): string {
  const match = addressPattern.exec(address)
  const ip = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3] ?? 0)
  if (isIP(ip) === 0 || port < 1 || port > maxPort) throw Fault.create('address-invalid', address)
  return isIP(ip) === 6 ? `http://[${ip}]:${port}` : `http://${ip}:${port}`
}

/** Like `parseOrigin`, but also accepts an `http://` URL without a path. */
export function parseNodeOrigin (addressOrUrl: string): string {
  return parseOrigin(addressOrUrl.replace(/^http:\/\//, '').replace(/\/$/, ''))
}
