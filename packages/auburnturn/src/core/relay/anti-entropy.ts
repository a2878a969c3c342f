import { create } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import { PushRequestSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Random } from '../random/index.js'
import type { RelayHandlers, ReplicatedState } from './relay-handlers.js'
import type { ByteBudget } from './byte-budget.js'
import { comparisonIntervalMs } from './constants.js'
import type { RelayClient } from './relay-client.js'
import { createCompareRequest, encodeEntry, updateFreshness, addNotices, decodeEntry } from './messages.js'
import type { ReaderElection } from './reader-election.js'
import type { Peer, Topology } from './topology.js'

interface AntiEntropyOptions extends ReplicatedState {
  readonly clock: Clock
  readonly random: Random
  readonly topology: Topology
  readonly readerElection: ReaderElection
  readonly client: RelayClient
  readonly budget: ByteBudget
  readonly handlers: RelayHandlers
  /** Called around entries, and around notices, that a comparison brought. */
  readonly applyEntries: (take: () => void) => void
  readonly applyNotices: (take: () => void) => void
}

/**
 * Compares what this node holds with one peer after another, by a digest first and by
 * (key, version) pairs only where it differs, and mends both sides.
 */
export class AntiEntropy {
  /** Comparisons that ended, equal or not. */
  rounds = 0
  /** Comparisons that found a difference. */
  differences = 0
  private readonly options: AntiEntropyOptions
  private nextPeerIndex = 0

  private constructor (options: AntiEntropyOptions) {
    this.options = options
  }

  static create (options: AntiEntropyOptions): AntiEntropy {
    return new AntiEntropy(options)
  }

  /** One comparison after another until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, readerElection: readership } = this.options
    while (!signal.aborted) {
      const peer = this.nextPeer()
      const changed = peer !== undefined && await this.compareWith(peer)
      const candidate = this.nextCandidate()
      if (candidate !== undefined && candidate !== peer) await this.compareWith(candidate)
      const foreign = readership.role === 'reader' ? this.nextRemoteContact() : undefined
      if (foreign !== undefined) await this.compareWith(foreign)
      this.rounds++
      // News travel on at once: a fleet that starts empty fills in few rounds.
      if (!changed) await clock.sleep(comparisonIntervalMs * (0.5 + random.fraction()), signal)
    }
  }

  /** Compares with one peer; true when this node learned something. */
  async compareWith (peer: Peer): Promise<boolean> {
    const { client: link, digest, notices, freshness, topology, budget, applyNotices: receiveNotices } = this.options
    if (!budget.hasTokens) return false
    const state = createCompareRequest(topology.self.id, digest, notices, freshness)
    const answer = await link.compare(peer, state)
    if (answer === undefined) return false
    const equal = answer.buckets.length === 0
    if (equal && state.digest === digest.total) updateFreshness(freshness, answer.freshness, true)
    else updateFreshness(freshness, answer.freshness, false)
    if (answer.notices.length > 0) receiveNotices(() => { addNotices(notices, answer.notices) })
    return !equal && await this.reconcile(peer, answer.buckets)
  }

  private async reconcile (peer: Peer, theirs: readonly bigint[]): Promise<boolean> {
    const { digest, handlers: answers, client: link, applyEntries: receive, budget } = this.options
    const own = digest.buckets
    const differing = theirs.flatMap((hash, bucket) => hash === own[bucket] ? [] : [bucket])
    if (differing.length === 0) return false
    this.differences++
    let learned = false
    for (let more = true; more && budget.hasTokens;) {
      const answer = await link.repair(peer, answers.createRepairRequest(differing))
      if (answer === undefined) return learned
      const before = digest.total
      receive(() => { answers.acceptEntries(answer.entries.map(decodeEntry)) })
      learned ||= digest.total !== before
      await this.sendWanted(peer, answer.wanted)
      more = answer.more && answer.entries.length > 0
    }
    return learned
  }

  private async sendWanted (peer: Peer, wanted: readonly string[]): Promise<void> {
    const { handlers: answers, client: link, budget } = this.options
    const perMessage = 200
    for (let start = 0; start < wanted.length && budget.hasTokens; start += perMessage) {
      const entries = wanted.slice(start, start + perMessage).map(key => answers.findEntry(key)).filter(entry => entry !== undefined)
      if (!await link.push(peer, create(PushRequestSchema, { entries: entries.map(encodeEntry) }))) return
    }
  }

  private nextPeer (): Peer | undefined {
    const { topology, readerElection: readership } = this.options
    const { comparisonPeers: partners } = topology
    for (let tries = 0; tries < partners.length; tries++) {
      const partner = partners[this.nextPeerIndex++ % partners.length]
      if (partner !== undefined && !readership.isUnresponsive(partner.id)) return partner
    }
    return partners[this.nextPeerIndex++ % Math.max(1, partners.length)]
  }

  /** A candidate before this node, so that a silent reader is noticed. */
  private nextCandidate (): Peer | undefined {
    const { readerElection: readership, random } = this.options
    const { precedingCandidates: ahead } = readership
    return ahead.length === 0 ? undefined : ahead[random.below(ahead.length)]
  }

  /** The speaker of another failure domain, drawn anew each time. */
  private nextRemoteContact (): Peer | undefined {
    const { topology, readerElection: readership, random, client: link } = this.options
    const others = topology.domainNames.filter(name => name !== topology.self.failureDomain)
    for (const name of others) for (const { region } of topology.getPeers(name).slice(0, 1)) link.trackRegion(region)
    const name = others.length === 0 ? undefined : others[random.below(others.length)]
    return name === undefined ? undefined : readership.findContact(name)
  }
}
