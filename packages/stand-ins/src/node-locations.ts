import type { Member } from 'auburnturn'
import type { Deployment } from './deployments.js'

/** Every stand-in and daemon of the embedded default listens here. */
export const loopbackIp = '127.0.0.1'

const portsPerNode = 4

/** One target with the ports of its node. */
export interface NodeLocation {
  readonly member: Member
  readonly callersPort: number
  readonly operatorPort: number
}

/** Places the targets of `deployments`, each with its own ports from `firstPort` on. */
export function assignNodeLocations (deployments: readonly Deployment[], firstPort: number): NodeLocation[] {
  return deployments.flatMap(listMembers).map((draft, index) => {
    const base = firstPort + index * portsPerNode
    return {
      member: { ...draft, ip: loopbackIp, peerPort: base + 1, controlPort: base + 2 },
      callersPort: base,
      operatorPort: base + 3
    }
  })
}

type UnaddressedMember = Omit<Member, 'ip' | 'peerPort' | 'controlPort'>

function listMembers ({ region, failureDomains, services }: Deployment): UnaddressedMember[] {
  return services.flatMap(({ name, targets }) => Array.from({ length: targets }, (_, index): UnaddressedMember => ({
    id: `${name}-${index + 1}`,
    service: name,
    region,
    failureDomain: failureDomains[index % failureDomains.length] as string,
    state: 'live'
  })))
}
