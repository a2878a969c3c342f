import type { Clock } from '../clock/index.js'
import { hashText } from '../configuration/index.js'
import { fanOut, shrinkHoldDownMs } from './constants.js'

/** What the relay needs to know of another node. */
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
  /** Members in rank order; undefined after a change. */
  sortedPeers: readonly Peer[] | undefined
  /** The former order and when it was left, while a sudden shrinkage is not believed. */
  previousPeers: readonly Peer[]
  shrunkAt: number | undefined
}

/**
 * Who talks to whom, computed alike on every node from the member list alone: members of a failure domain
 * in the order of a rendezvous hash. No message is spent on agreeing.
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

  /** Takes a member that came or changed; undefined for one that went. */
  setMember (id: string, member: Peer | undefined, formerDomain = member?.failureDomain): void {
    // A list that has lost this node does not take it out of its own view.
    if (id === this.self.id && member === undefined) return
    for (const [name, domain] of this.domains) {
      if (name !== formerDomain && domain.members.has(id)) this.remove(domain, id)
    }
    if (member === undefined) return
    const domain = this.getOrCreateDomain(member.failureDomain)
    domain.members.set(id, { peer: member, rank: hashText(`${member.failureDomain}\n${id}`) })
    domain.sortedPeers = undefined
  }

  /** Members of this node's failure domain in rank order, itself included. */
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

  findPeer (id: string): Peer | undefined {
    for (const { members } of this.domains.values()) {
      const found = members.get(id)
      if (found !== undefined) return found.peer
    }
    return undefined
  }

  /** Failure domains with members, by name. */
  get domainNames (): string[] {
    return [...this.domains.keys()].filter(name => this.getPeers(name).length > 0).sort()
  }

  /** Children of `id` in this failure domain's tree under `root`. */
  findChildren (id: string, root: string): Peer[] {
    return findTreeChildren(this.domainPeers, peer => peer.id === id, peer => peer.id === root)
  }

  /** Failure domains that `name` passes news on to when they came from `root`. */
  findChildDomains (name: string, root: string): string[] {
    return findTreeChildren(this.domainNames, other => other === name, other => other === root)
  }

  /** Peers to compare with, at distances that grow by the fan-out; each node has as many as have it. */
  get comparisonPeers (): Peer[] {
    const { domainPeers: home } = this
    const own = home.findIndex(peer => peer.id === this.self.id)
    const partners: Peer[] = []
    for (let distance = 1; distance < home.length; distance *= fanOut) {
      partners.push(home[(own + distance) % home.length] as Peer)
    }
    return partners
  }

  private remove (domain: FailureDomain, id: string): void {
    if (domain.sortedPeers !== undefined && domain.shrunkAt === undefined) domain.previousPeers = domain.sortedPeers
    domain.members.delete(id)
    domain.sortedPeers = undefined
  }

  private getOrCreateDomain (name: string): FailureDomain {
    const known = this.domains.get(name)
    if (known !== undefined) return known
    const fresh: FailureDomain = { members: new Map(), sortedPeers: undefined, previousPeers: [], shrunkAt: undefined }
    this.domains.set(name, fresh)
    return fresh
  }

  private sortMembers (domain: FailureDomain): readonly Peer[] {
    const rows = [...domain.members.values()].sort((one, other) => one.rank < other.rank ? -1 : 1)
    const shrunk = rows.length * 2 < domain.previousPeers.length
    domain.shrunkAt = shrunk ? domain.shrunkAt ?? this.clock.now() : undefined
    return rows.map(({ peer }) => peer)
  }
}

/** Children in a heap laid over `row`, turned so that the root comes first. */
function findTreeChildren<Value> (row: readonly Value[], isParent: (value: Value) => boolean, isRoot: (value: Value) => boolean): Value[] {
  const start = row.findIndex(isRoot)
  const parent = row.findIndex(isParent)
  if (start < 0 || parent < 0) return []
  const place = (parent - start + row.length) % row.length
  const places = Array.from({ length: fanOut }, (_, index) => place * fanOut + index + 1)
  return places.filter(child => child < row.length).map(child => row[(start + child) % row.length] as Value)
}
