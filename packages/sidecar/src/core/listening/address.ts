/** Returns the IP address of `IP:PORT`. */
export function parseHost (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}

/** Returns the port of `IP:PORT`. */
export function parsePort (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}
