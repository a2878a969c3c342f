import { isIPv4 } from 'node:net'

/** First octets of addresses to which no connection can be opened: the unspecified network, and multicast and reserved ones. */
const unspecifiedOctet = 0
const firstMulticastOctet = 224

const portPattern = /^[1-9]\d{0,4}$/

/** Largest number of a port. */
export const maxPort = 65_535

/** Whether a text is `IP:PORT`, with an IPv4 address and a port from 1 on. It may be an address that only a server uses, as 0.0.0.0. */
export function isAddress (text: string): boolean {
  const [ip, port] = splitAddress(text)
  return isIPv4(ip) && portPattern.test(port) && Number(port) <= maxPort
}

/** Returns the IP address of `IP:PORT`; undefined unless a connection can be opened to it. */
export function parseConnectableIp (address: string): string | undefined {
  const [ip] = splitAddress(address)
  const firstOctet = Number(ip.slice(0, ip.indexOf('.')))
  return isAddress(address) && firstOctet !== unspecifiedOctet && firstOctet < firstMulticastOctet ? ip : undefined
}

/** Splits a text at its last colon. */
function splitAddress (text: string): [string, string] {
  const colon = Math.max(0, text.lastIndexOf(':'))
  return [text.slice(0, colon), text.slice(colon + 1)]
}
