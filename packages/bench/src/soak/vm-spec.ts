import { services } from './constants.js'

/** Identity and addresses of one VM: its own addresses and those of the proxies in front of it and of the store. */
export interface VmSpec {
  readonly index: number
  readonly name: string
  readonly service: string
  readonly failureDomain: string
  /** Address on which its processes listen. */
  readonly ip: string
  /** Address at which other VMs reach it, through proxies. */
  readonly proxyIp: string
  /** Address at which its node reaches the store, through a proxy. */
  readonly storeProxyIp: string
}

const domains = ['a', 'b', 'c'] as const

/**
 * Creates the specifications of a deployment of `count` VMs. `networkIndex` (0 to 63) selects the loopback addresses, so
 * that runs with different indexes do not share any.
 */
export function createVmSpecs (count: number, networkIndex: number): VmSpec[] {
  return Array.from({ length: count }, (_, index) => {
    const host = `${Math.floor(index / 200)}.${10 + index % 200}`
    const createIp = (group: number): string => `127.${networkIndex * 3 + group}.${host}`
    return {
      index,
      name: `vm-${index}`,
      service: services[index % services.length] as string,
      failureDomain: domains[Math.floor(index / services.length) % domains.length] as string,
      ip: createIp(2),
      proxyIp: createIp(3),
      storeProxyIp: createIp(4)
    }
  })
}
