import type { Clock } from '../clock/index.js'
import { candidatesPerDomain, readerTimeoutMs, readersPerDomain, unresponsivePeriodMs } from './constants.js'
import type { Peer, Topology } from './topology.js'

/** `reader`: watches the platform. `follower`: hears from peers. */
export type Role = 'reader' | 'follower'

interface PeerReport {
  readonly receivedAt: number
  /** Whether the platform answers that node. */
  readonly isReading: boolean
}

/** Which nodes of this failure domain read the platform, judged by each node on its own. */
export class ReaderElection {
  private readonly topology: Topology
  private readonly clock: Clock
  private readonly unresponsiveUntil = new Map<string, number>()
  private readonly reports = new Map<string, PeerReport>()

  private constructor (topology: Topology, clock: Clock) {
    this.topology = topology
    this.clock = clock
  }

  static create ({ topology, clock }: { topology: Topology, clock: Clock }): ReaderElection {
    return new ReaderElection(topology, clock)
  }

  /** The first candidates that this node does not know to be silent; too many readers cost calls, never correctness. */
  get role (): Role {
    let ahead = 0
    for (const { id } of this.candidates) {
      if (id === this.topology.self.id) return ahead < readersPerDomain ? 'reader' : 'follower'
      if (this.isActive(id)) ahead++
    }
    return 'follower'
  }

  /** Candidates of this failure domain in rank order. */
  get candidates (): readonly Peer[] {
    return this.topology.domainPeers.slice(0, candidatesPerDomain)
  }

  /** Candidates before this node, which it must watch; none when it is no candidate. */
  get precedingCandidates (): readonly Peer[] {
    const { candidates } = this
    return candidates.slice(0, Math.max(0, candidates.findIndex(({ id }) => id === this.topology.self.id)))
  }

  /** The member of another failure domain that takes its messages: the first one not known to be silent. */
  findContact (failureDomain: string): Peer | undefined {
    const candidates = this.topology.getPeers(failureDomain).slice(0, candidatesPerDomain)
    return candidates.find(({ id }) => !this.isUnresponsive(id)) ?? candidates[0]
  }

  isUnresponsive (id: string): boolean {
    return (this.unresponsiveUntil.get(id) ?? -Infinity) > this.clock.now()
  }

  /** A message to `id` failed. */
  recordFailure (id: string): void {
    this.unresponsiveUntil.set(id, this.clock.now() + unresponsivePeriodMs)
  }

  /** `id` answered, and the platform answered it `answeredMs` ago. */
  recordAnswer (id: string, answeredMs: number | undefined): void {
    this.unresponsiveUntil.delete(id)
    const now = this.clock.now()
    this.reports.set(id, { receivedAt: now, isReading: answeredMs !== undefined && answeredMs < readerTimeoutMs })
    if (this.reports.size > 1_000) this.removeExpired(now)
  }

  dump (): unknown {
    return { role: this.role, candidates: this.candidates.map(({ id }) => ({ id, active: this.isActive(id) })) }
  }

  private isActive (id: string): boolean {
    if (this.isUnresponsive(id)) return false
    const heard = this.reports.get(id)
    // A candidate not heard from lately is believed to read: it costs less than all reading at once.
    return heard === undefined || this.clock.now() - heard.receivedAt > readerTimeoutMs || heard.isReading
  }

  private removeExpired (now: number): void {
    for (const [id, { receivedAt: at }] of this.reports) if (now - at > readerTimeoutMs) this.reports.delete(id)
    for (const [id, until] of this.unresponsiveUntil) if (until < now) this.unresponsiveUntil.delete(id)
  }
}
