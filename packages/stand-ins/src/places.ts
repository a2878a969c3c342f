import type { Member } from 'auburnturn'
import type { Deployment } from './deployments.js'

/** Every stand-in and daemon of the embedded default listens here. */
export const ip = '127.0.0.1'

const portsPerTarget = 4

/** One target with the ports of its node. */
export interface Place {
  readonly member: Member
  readonly callersPort: number
  readonly operatorPort: number
}

/** Places the targets of `deployments`, each with its own ports from `firstPort` on. */
export function assignPlaces (deployments: readonly Deployment[], firstPort: number): Place[] {
  return deployments.flatMap(placeTargets).map((draft, index) => {
    const base = firstPort + index * portsPerTarget
    return {
      member: { ...draft, ip, peerPort: base + 1, controlPort: base + 2 },
      callersPort: base,
      operatorPort: base + 3
    }
  })
}

type Draft = Omit<Member, 'ip' | 'peerPort' | 'controlPort'>

function placeTargets ({ region, failureDomains, services }: Deployment): Draft[] {
  return services.flatMap(({ name, targets }) => Array.from({ length: targets }, (_, index): Draft => ({
    id: `${name}-${index + 1}`,
    service: name,
    region,
    failureDomain: failureDomains[index % failureDomains.length] as string,
    state: 'live'
  })))
}
