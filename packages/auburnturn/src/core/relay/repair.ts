import { create } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import { PushRequestSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Random } from '../random/index.js'
import type { Answers, Holdings } from './answers.js'
import type { Budget } from './budget.js'
import { repairMs } from './constants.js'
import type { Link } from './link.js'
import { describeState, packEntry, takeFreshness, takeNotices, unpackEntry } from './messages.js'
import type { Readership } from './readership.js'
import type { Peer, Topology } from './topology.js'

interface Parts extends Holdings {
  readonly clock: Clock
  readonly random: Random
  readonly topology: Topology
  readonly readership: Readership
  readonly link: Link
  readonly budget: Budget
  readonly answers: Answers
  /** Called around entries, and around notices, that a comparison brought. */
  readonly receive: (take: () => void) => void
  readonly receiveNotices: (take: () => void) => void
}

/**
 * Compares what this node holds with one peer after another, by a digest first and by
 * (key, version) pairs only where it differs, and mends both sides.
 */
export class Repair {
  /** Comparisons that ended, equal or not. */
  rounds = 0
  /** Comparisons that found a difference. */
  differences = 0
  private readonly parts: Parts
  private turn = 0

  private constructor (parts: Parts) {
    this.parts = parts
  }

  static create (parts: Parts): Repair {
    return new Repair(parts)
  }

  /** One comparison after another until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, readership } = this.parts
    while (!signal.aborted) {
      const peer = this.nextPartner()
      const changed = peer !== undefined && await this.compareWith(peer)
      const candidate = this.nextCandidate()
      if (candidate !== undefined && candidate !== peer) await this.compareWith(candidate)
      const foreign = readership.role === 'reader' ? this.nextForeign() : undefined
      if (foreign !== undefined) await this.compareWith(foreign)
      this.rounds++
      // News travel on at once: a fleet that starts empty fills in few rounds.
      if (!changed) await clock.sleep(repairMs * (0.5 + random.fraction()), signal)
    }
  }

  /** Compares with one peer; true when this node learned something. */
  async compareWith (peer: Peer): Promise<boolean> {
    const { link, digest, notices, freshness, topology, budget, receiveNotices } = this.parts
    if (!budget.isOpen) return false
    const state = describeState(topology.self.id, digest, notices, freshness)
    const answer = await link.compare(peer, state)
    if (answer === undefined) return false
    const equal = answer.buckets.length === 0
    if (equal && state.digest === digest.total) takeFreshness(freshness, answer.freshness, true)
    else takeFreshness(freshness, answer.freshness, false)
    if (answer.notices.length > 0) receiveNotices(() => { takeNotices(notices, answer.notices) })
    return !equal && await this.mend(peer, answer.buckets)
  }

  private async mend (peer: Peer, theirs: readonly bigint[]): Promise<boolean> {
    const { digest, answers, link, receive, budget } = this.parts
    const own = digest.buckets
    const differing = theirs.flatMap((hash, bucket) => hash === own[bucket] ? [] : [bucket])
    if (differing.length === 0) return false
    this.differences++
    let learned = false
    for (let more = true; more && budget.isOpen;) {
      const answer = await link.repair(peer, answers.describe(differing))
      if (answer === undefined) return learned
      const before = digest.total
      receive(() => { answers.take(answer.entries.map(unpackEntry)) })
      learned ||= digest.total !== before
      await this.sendWanted(peer, answer.wanted)
      more = answer.more && answer.entries.length > 0
    }
    return learned
  }

  private async sendWanted (peer: Peer, wanted: readonly string[]): Promise<void> {
    const { answers, link, budget } = this.parts
    const perMessage = 200
    for (let start = 0; start < wanted.length && budget.isOpen; start += perMessage) {
      const entries = wanted.slice(start, start + perMessage).map(key => answers.find(key)).filter(entry => entry !== undefined)
      if (!await link.push(peer, create(PushRequestSchema, { entries: entries.map(packEntry) }))) return
    }
  }

  private nextPartner (): Peer | undefined {
    const { topology, readership } = this.parts
    const { partners } = topology
    for (let tries = 0; tries < partners.length; tries++) {
      const partner = partners[this.turn++ % partners.length]
      if (partner !== undefined && !readership.isSilent(partner.id)) return partner
    }
    return partners[this.turn++ % Math.max(1, partners.length)]
  }

  /** A candidate before this node, so that a silent reader is noticed. */
  private nextCandidate (): Peer | undefined {
    const { readership, random } = this.parts
    const { ahead } = readership
    return ahead.length === 0 ? undefined : ahead[random.integerBelow(ahead.length)]
  }

  /** The speaker of another failure domain, drawn anew each time. */
  private nextForeign (): Peer | undefined {
    const { topology, readership, random, link } = this.parts
    const others = topology.domainNames.filter(name => name !== topology.self.failureDomain)
    for (const name of others) for (const { region } of topology.peersOf(name).slice(0, 1)) link.expectRegion(region)
    const name = others.length === 0 ? undefined : others[random.integerBelow(others.length)]
    return name === undefined ? undefined : readership.speakerOf(name)
  }
}
