import type { Member } from 'auburnturn'
import type { Deployment } from './deployments.js'

/** Address on which all stand-ins and daemons of a fleet listen. */
export const ip = '127.0.0.1'

const portsPerNode = 4

/** A node of the fleet: its entry in the member list, and the ports that are not in it. */
export interface FleetNode {
  readonly member: Member
  readonly callersPort: number
  readonly operatorPort: number
}

/** Lists the nodes of `deployments` and assigns consecutive ports to each, starting at `firstPort`. */
export function createFleetNodes (deployments: readonly Deployment[], firstPort: number): FleetNode[] {
  return deployments.flatMap(listMembers).map((member, index) => {
    const basePort = firstPort + index * portsPerNode
    return {
      member: { ...member, ip, peerPort: basePort + 1, controlPort: basePort + 2 },
      callersPort: basePort,
      operatorPort: basePort + 3
    }
  })
}

/** A member before its address and ports are assigned. */
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
