import type { Clock } from '../clock/index.js'
import { candidatesPerDomain, readerLapseMs, readersPerDomain, silenceMs } from './constants.js'
import type { Peer, Topology } from './topology.js'

/** `reader`: watches the platform. `follower`: hears from peers. */
export type Role = 'reader' | 'follower'

interface Heard {
  readonly at: number
  /** Whether the platform answers that node. */
  readonly reads: boolean
}

/** Which nodes of this failure domain read the platform, judged by each node on its own. */
export class Readership {
  private readonly topology: Topology
  private readonly clock: Clock
  private readonly silentUntil = new Map<string, number>()
  private readonly heard = new Map<string, Heard>()

  private constructor (topology: Topology, clock: Clock) {
    this.topology = topology
    this.clock = clock
  }

  static create ({ topology, clock }: { topology: Topology, clock: Clock }): Readership {
    return new Readership(topology, clock)
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
    return this.topology.home.slice(0, candidatesPerDomain)
  }

  /** Candidates before this node, which it must watch; none when it is no candidate. */
  get ahead (): readonly Peer[] {
    const { candidates } = this
    return candidates.slice(0, Math.max(0, candidates.findIndex(({ id }) => id === this.topology.self.id)))
  }

  /** The member of another failure domain that takes its messages: the first one not known to be silent. */
  speakerOf (failureDomain: string): Peer | undefined {
    const candidates = this.topology.peersOf(failureDomain).slice(0, candidatesPerDomain)
    return candidates.find(({ id }) => !this.isSilent(id)) ?? candidates[0]
  }

  isSilent (id: string): boolean {
    return (this.silentUntil.get(id) ?? -Infinity) > this.clock.now()
  }

  /** A message to `id` failed. */
  noteSilence (id: string): void {
    this.silentUntil.set(id, this.clock.now() + silenceMs)
  }

  /** `id` answered, and the platform answered it `answeredMs` ago. */
  noteAnswer (id: string, answeredMs: number | undefined): void {
    this.silentUntil.delete(id)
    const now = this.clock.now()
    this.heard.set(id, { at: now, reads: answeredMs !== undefined && answeredMs < readerLapseMs })
    if (this.heard.size > 1_000) this.forget(now)
  }

  dump (): unknown {
    return { role: this.role, candidates: this.candidates.map(({ id }) => ({ id, active: this.isActive(id) })) }
  }

  private isActive (id: string): boolean {
    if (this.isSilent(id)) return false
    const heard = this.heard.get(id)
    // A candidate not heard from lately is believed to read: it costs less than all reading at once.
    return heard === undefined || this.clock.now() - heard.at > readerLapseMs || heard.reads
  }

  private forget (now: number): void {
    for (const [id, { at }] of this.heard) if (now - at > readerLapseMs) this.heard.delete(id)
    for (const [id, until] of this.silentUntil) if (until < now) this.silentUntil.delete(id)
  }
}
