import type { Clock } from '../clock/index.js'
import { candidatesPerDomain, readersPerDomain, readerTimeoutMs, unresponsivePeriodMs } from './constants.js'
import type { Peer, Topology } from './topology.js'

/** `reader`: watches the platform. `follower`: receives updates from peers only. */
export type Role = 'reader' | 'follower'

interface PeerReport {
  readonly receivedAt: number
  /** Whether the platform has answered that node within `readerTimeoutMs`. */
  readonly isReading: boolean
}

/** Decides which nodes of this failure domain read the platform; each node decides on its own. */
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

  /** The first active candidates are readers. Nodes may disagree: too many readers cost calls, but never correctness. */
  get role (): Role {
    let activeBefore = 0
    for (const { id } of this.candidates) {
      if (id === this.topology.self.id) return activeBefore < readersPerDomain ? 'reader' : 'follower'
      if (this.isActive(id)) activeBefore++
    }
    return 'follower'
  }

  /** Members of this failure domain that may become readers, in rank order. */
  get candidates (): readonly Peer[] {
    return this.topology.domainPeers.slice(0, candidatesPerDomain)
  }

  /** Candidates ranked before this node, which it must monitor; none when it is not a candidate. */
  get precedingCandidates (): readonly Peer[] {
    const { candidates } = this
    return candidates.slice(0, Math.max(0, candidates.findIndex(({ id }) => id === this.topology.self.id)))
  }

  /**
   * The member that receives the messages to another failure domain: its first candidate not known to be unresponsive, or
   * its first candidate when all are.
   */
  findContact (failureDomain: string): Peer | undefined {
    const candidates = this.topology.getPeers(failureDomain).slice(0, candidatesPerDomain)
    return candidates.find(({ id }) => !this.isUnresponsive(id)) ?? candidates[0]
  }

  isUnresponsive (id: string): boolean {
    return (this.unresponsiveUntil.get(id) ?? -Infinity) > this.clock.now()
  }

  /** Records a failed message to `id`. */
  recordFailure (id: string): void {
    this.unresponsiveUntil.set(id, this.clock.now() + unresponsivePeriodMs)
  }

  /** Records a message from `id`, which the platform last answered `answeredMs` ago; undefined when never. */
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
    const report = this.reports.get(id)
    // A candidate without a recent report is assumed to read: that costs less than all candidates reading at the same time.
    return report === undefined || this.clock.now() - report.receivedAt > readerTimeoutMs || report.isReading
  }

  private removeExpired (now: number): void {
    for (const [id, { receivedAt }] of this.reports) if (now - receivedAt > readerTimeoutMs) this.reports.delete(id)
    for (const [id, until] of this.unresponsiveUntil) if (until < now) this.unresponsiveUntil.delete(id)
  }
}
