import { services } from './constants.js'

/** Addresses of one VM: its own ones, and those of the links that lead to its parts. */
export interface Place {
  readonly index: number
  readonly name: string
  readonly service: string
  readonly failureDomain: string
  /** Where its processes listen. */
  readonly ip: string
  /** Where other VMs reach it, over links. */
  readonly linkIp: string
  /** Where its node reaches the store, over a link. */
  readonly storeIp: string
}

const domains = ['a', 'b', 'c'] as const

/** The places of a deployment of `count` VMs; each run has addresses of its own by `net` (0 to 63). */
export function createPlaces (count: number, net: number): Place[] {
  return Array.from({ length: count }, (_, index) => {
    const host = `${Math.floor(index / 200)}.${10 + index % 200}`
    const at = (group: number): string => `127.${net * 3 + group}.${host}`
    return {
      index,
      name: `vm-${index}`,
      service: services[index % services.length] as string,
      failureDomain: domains[Math.floor(index / services.length) % domains.length] as string,
      ip: at(2),
      linkIp: at(3),
      storeIp: at(4)
    }
  })
}
