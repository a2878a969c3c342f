import type { Clock } from '../clock/index.js'
import { hashText } from '../configuration/index.js'
import { fanOut, shrinkHoldDownMs } from './constants.js'

/** Identity, location and control address of a node, as the relay needs them. */
export interface Peer {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  readonly ip: string
  readonly controlPort: number
}

interface RankedPeer { readonly peer: Peer, readonly rank: bigint }

interface FailureDomain {
  readonly members: Map<string, RankedPeer>
  /** Members in rank order; undefined after a change until it is computed again. */
  sortedPeers: readonly Peer[] | undefined
  /** The previous members in rank order, which stay in use while a sudden loss of members is not accepted yet. */
  previousPeers: readonly Peer[]
  /** Clock time of that loss; undefined when there was none or it is accepted. */
  shrunkAt: number | undefined
}

/**
 * Decides which nodes exchange messages. Every node computes the same result from the member list alone, with the members
 * of a failure domain in the order of a rendezvous hash, so no messages are needed to agree on it.
 */
export class Topology {
  readonly self: Peer
  private readonly clock: Clock
  private readonly domains = new Map<string, FailureDomain>()

  private constructor (self: Peer, clock: Clock) {
    this.self = self
    this.clock = clock
    this.setMember(self.id, self)
  }

  static create ({ self, clock }: { self: Peer, clock: Clock }): Topology {
    return new Topology(self, clock)
  }

  /** Adds or updates a member, or removes it when it is undefined. It is removed from all domains but `currentDomain`. */
  setMember (id: string, member: Peer | undefined, currentDomain = member?.failureDomain): void {
    // This node stays in its own topology when a member list no longer contains it.
    if (id === this.self.id && member === undefined) return
    for (const [name, domain] of this.domains) {
      if (name !== currentDomain && domain.members.has(id)) this.remove(domain, id)
    }
    if (member === undefined) return
    const domain = this.getOrCreateDomain(member.failureDomain)
    domain.members.set(id, { peer: member, rank: hashText(`${member.failureDomain}\n${id}`) })
    domain.sortedPeers = undefined
  }

  /** Members of this node's failure domain in rank order, including this node. */
  get domainPeers (): readonly Peer[] {
    return this.getPeers(this.self.failureDomain)
  }

  /** Members of a failure domain in rank order. */
  getPeers (failureDomain: string): readonly Peer[] {
    const domain = this.domains.get(failureDomain)
    if (domain === undefined) return []
    domain.sortedPeers ??= this.sortMembers(domain)
    if (domain.shrunkAt !== undefined && this.clock.now() - domain.shrunkAt > shrinkHoldDownMs) domain.shrunkAt = undefined
    return domain.shrunkAt === undefined ? domain.sortedPeers : domain.previousPeers
  }

  /** The member with this id in any failure domain. */
  findPeer (id: string): Peer | undefined {
    for (const { members } of this.domains.values()) {
      const found = members.get(id)
      if (found !== undefined) return found.peer
    }
    return undefined
  }

  /** Names of the failure domains that have members, sorted. */
  get domainNames (): string[] {
    return [...this.domains.keys()].filter(name => this.getPeers(name).length > 0).sort()
  }

  /** Children of the member `id` in this failure domain's tree with the root `root`. */
  findChildren (id: string, root: string): Peer[] {
    return findTreeChildren(this.domainPeers, peer => peer.id === id, peer => peer.id === root)
  }

  /** Failure domains to which the domain `name` forwards updates that entered in the domain `root`. */
  findChildDomains (name: string, root: string): string[] {
    return findTreeChildren(this.domainNames, other => other === name, other => other === root)
  }

  /**
   * Peers to compare with, at rank distances that grow by the factor `fanOut`; each node is a comparison peer of as many
   * nodes as it has comparison peers.
   */
  get comparisonPeers (): Peer[] {
    const { domainPeers } = this
    const ownIndex = domainPeers.findIndex(peer => peer.id === this.self.id)
    const peers: Peer[] = []
    for (let distance = 1; distance < domainPeers.length; distance *= fanOut) {
      peers.push(domainPeers[(ownIndex + distance) % domainPeers.length] as Peer)
    }
    return peers
  }

  private remove (domain: FailureDomain, id: string): void {
    if (domain.sortedPeers !== undefined && domain.shrunkAt === undefined) domain.previousPeers = domain.sortedPeers
    domain.members.delete(id)
    domain.sortedPeers = undefined
  }

  private getOrCreateDomain (name: string): FailureDomain {
    const existing = this.domains.get(name)
    if (existing !== undefined) return existing
    const created: FailureDomain = { members: new Map(), sortedPeers: undefined, previousPeers: [], shrunkAt: undefined }
    this.domains.set(name, created)
    return created
  }

  private sortMembers (domain: FailureDomain): readonly Peer[] {
    const ranked = [...domain.members.values()].sort((one, other) => one.rank < other.rank ? -1 : 1)
    const shrunk = ranked.length * 2 < domain.previousPeers.length
    domain.shrunkAt = shrunk ? domain.shrunkAt ?? this.clock.now() : undefined
    return ranked.map(({ peer }) => peer)
  }
}

/** Children of the parent in a heap laid out over `values`, rotated so that the root comes first. */
function findTreeChildren<Value> (values: readonly Value[], isParent: (value: Value) => boolean, isRoot: (value: Value) => boolean): Value[] {
  const rootIndex = values.findIndex(isRoot)
  const parentIndex = values.findIndex(isParent)
  if (rootIndex < 0 || parentIndex < 0) return []
  const position = (parentIndex - rootIndex + values.length) % values.length
  const childPositions = Array.from({ length: fanOut }, (_, index) => position * fanOut + index + 1)
  return childPositions.filter(child => child < values.length).map(child => values[(rootIndex + child) % values.length] as Value)
}
