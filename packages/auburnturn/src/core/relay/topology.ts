import type { Clock } from '../clock/index.js'
import { hashText } from '../configuration/index.js'
import { fanOut, shrinkHoldMs } from './constants.js'

/** What the relay needs to know of another node. */
export interface Peer {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  readonly ip: string
  readonly controlPort: number
}

interface Ranked { readonly peer: Peer, readonly rank: bigint }

interface Domain {
  readonly members: Map<string, Ranked>
  /** Members in rank order; undefined after a change. */
  sorted: readonly Peer[] | undefined
  /** The former order and when it was left, while a sudden shrinkage is not believed. */
  before: readonly Peer[]
  shrunkAt: number | undefined
}

/**
 * Who talks to whom, computed alike on every node from the member list alone: members of a failure domain
 * in the order of a rendezvous hash. No message is spent on agreeing.
 */
export class Topology {
  readonly self: Peer
  private readonly clock: Clock
  private readonly domains = new Map<string, Domain>()

  private constructor (self: Peer, clock: Clock) {
    this.self = self
    this.clock = clock
    this.set(self.id, self)
  }

  static create ({ self, clock }: { self: Peer, clock: Clock }): Topology {
    return new Topology(self, clock)
  }

  /** Takes a member that came or changed; undefined for one that went. */
  set (id: string, member: Peer | undefined, formerDomain = member?.failureDomain): void {
    // A list that has lost this node does not take it out of its own view.
    if (id === this.self.id && member === undefined) return
    for (const [name, domain] of this.domains) {
      if (name !== formerDomain && domain.members.has(id)) this.remove(domain, id)
    }
    if (member === undefined) return
    const domain = this.domainOf(member.failureDomain)
    domain.members.set(id, { peer: member, rank: hashText(`${member.failureDomain}\n${id}`) })
    domain.sorted = undefined
  }

  /** Members of this node's failure domain in rank order, itself included. */
  get home (): readonly Peer[] {
    return this.peersOf(this.self.failureDomain)
  }

  /** Members of a failure domain in rank order. */
  peersOf (failureDomain: string): readonly Peer[] {
    const domain = this.domains.get(failureDomain)
    if (domain === undefined) return []
    domain.sorted ??= this.sort(domain)
    if (domain.shrunkAt !== undefined && this.clock.now() - domain.shrunkAt > shrinkHoldMs) domain.shrunkAt = undefined
    return domain.shrunkAt === undefined ? domain.sorted : domain.before
  }

  find (id: string): Peer | undefined {
    for (const { members } of this.domains.values()) {
      const found = members.get(id)
      if (found !== undefined) return found.peer
    }
    return undefined
  }

  /** Failure domains with members, by name. */
  get domainNames (): string[] {
    return [...this.domains.keys()].filter(name => this.peersOf(name).length > 0).sort()
  }

  /** Children of `id` in this failure domain's tree under `root`. */
  childrenOf (id: string, root: string): Peer[] {
    return treeChildren(this.home, peer => peer.id === id, peer => peer.id === root)
  }

  /** Failure domains that `name` passes news on to when they came from `root`. */
  childDomains (name: string, root: string): string[] {
    return treeChildren(this.domainNames, other => other === name, other => other === root)
  }

  /** Peers to compare with, at distances that grow by the fan-out; each node has as many as have it. */
  get partners (): Peer[] {
    const { home } = this
    const own = home.findIndex(peer => peer.id === this.self.id)
    const partners: Peer[] = []
    for (let distance = 1; distance < home.length; distance *= fanOut) {
      partners.push(home[(own + distance) % home.length] as Peer)
    }
    return partners
  }

  private remove (domain: Domain, id: string): void {
    if (domain.sorted !== undefined && domain.shrunkAt === undefined) domain.before = domain.sorted
    domain.members.delete(id)
    domain.sorted = undefined
  }

  private domainOf (name: string): Domain {
    const known = this.domains.get(name)
    if (known !== undefined) return known
    const fresh: Domain = { members: new Map(), sorted: undefined, before: [], shrunkAt: undefined }
    this.domains.set(name, fresh)
    return fresh
  }

  private sort (domain: Domain): readonly Peer[] {
    const rows = [...domain.members.values()].sort((one, other) => one.rank < other.rank ? -1 : 1)
    const shrunk = rows.length * 2 < domain.before.length
    domain.shrunkAt = shrunk ? domain.shrunkAt ?? this.clock.now() : undefined
    return rows.map(({ peer }) => peer)
  }
}

/** Children in a heap laid over `row`, turned so that the root comes first. */
function treeChildren<Value> (row: readonly Value[], isParent: (value: Value) => boolean, isRoot: (value: Value) => boolean): Value[] {
  const start = row.findIndex(isRoot)
  const parent = row.findIndex(isParent)
  if (start < 0 || parent < 0) return []
  const place = (parent - start + row.length) % row.length
  const places = Array.from({ length: fanOut }, (_, index) => place * fanOut + index + 1)
  return places.filter(child => child < row.length).map(child => row[(start + child) % row.length] as Value)
}
