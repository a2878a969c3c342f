/** Addresses as people write them. */
import { isIP } from 'node:net'
import { Fault } from 'auburnturn'

const maxPort = 65_535
const addressPattern = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/

/** The HTTP origin of `IP:PORT`; throws an `address-invalid` fault. */
export function parseOrigin (address: string): string {
  const match = addressPattern.exec(address)
  const ip = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3] ?? 0)
  if (isIP(ip) === 0 || port < 1 || port > maxPort) throw Fault.create('address-invalid', address)
  return isIP(ip) === 6 ? `http://[${ip}]:${port}` : `http://${ip}:${port}`
}

/** The origin of an address or of an `http://` URL that names nothing more. */
export function parseTargetOrigin (target: string): string {
  return parseOrigin(target.replace(/^http:\/\//, '').replace(/\/$/, ''))
}
