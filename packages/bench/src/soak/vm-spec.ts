import { services } from './constants.js'

/** Addresses of one VM: its own ones, and those of the links that lead to its parts. */
export interface VmSpec {
  readonly index: number
  readonly name: string
  readonly service: string
  readonly failureDomain: string
  /** Where its processes listen. */
  readonly ip: string
  /** Where other VMs reach it, over links. */
  readonly proxyIp: string
  /** Where its node reaches the store, over a link. */
  readonly storeProxyIp: string
}

const domains = ['a', 'b', 'c'] as const

/** The places of a deployment of `count` VMs; each run has addresses of its own by `net` (0 to 63). */
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
