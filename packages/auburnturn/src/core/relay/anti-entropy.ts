import { create } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import { PushRequestSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Random } from '../random/index.js'
import type { ByteBudget } from './byte-budget.js'
import { comparisonIntervalMs } from './constants.js'
import { addNotices, createCompareRequest, decodeEntry, encodeEntry, updateFreshness } from './messages.js'
import type { ReaderElection } from './reader-election.js'
import type { RelayClient } from './relay-client.js'
import type { RelayHandlers, ReplicatedState } from './relay-handlers.js'
import type { Peer, Topology } from './topology.js'

interface AntiEntropyOptions extends ReplicatedState {
  readonly clock: Clock
  readonly random: Random
  readonly topology: Topology
  readonly readerElection: ReaderElection
  readonly client: RelayClient
  readonly budget: ByteBudget
  readonly handlers: RelayHandlers
  /** Runs `apply`, which accepts the entries found by a comparison. */
  readonly applyEntries: (apply: () => void) => void
  /** Runs `apply`, which accepts the notices found by a comparison. */
  readonly applyNotices: (apply: () => void) => void
}

/**
 * Compares the state of this node with one peer after another, first by a digest and then by (key, version) pairs
 * only where the digests differ, and sends each side what it lacks.
 */
export class AntiEntropy {
  /** Completed rounds of comparisons, whether they found a difference or not. */
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

  /** Runs rounds of comparisons until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, readerElection } = this.options
    while (!signal.aborted) {
      const peer = this.nextPeer()
      const changed = peer !== undefined && await this.compareWith(peer)
      const candidate = this.nextCandidate()
      if (candidate !== undefined && candidate !== peer) await this.compareWith(candidate)
      const remoteContact = readerElection.role === 'reader' ? this.nextRemoteContact() : undefined
      if (remoteContact !== undefined) await this.compareWith(remoteContact)
      this.rounds++
      // No pause after a change, so that the next peer gets it immediately: a fleet that starts empty is filled in few rounds.
      if (!changed) await clock.sleep(comparisonIntervalMs * (0.5 + random.fraction()), signal)
    }
  }

  /** Compares with one peer; true when this node received new entries. */
  async compareWith (peer: Peer): Promise<boolean> {
    const { client, digest, notices, freshness, topology, budget, applyNotices } = this.options
    if (!budget.hasTokens) return false
    const request = createCompareRequest(topology.self.id, digest, notices, freshness)
    const answer = await client.compare(peer, request)
    if (answer === undefined) return false
    const isEqual = answer.buckets.length === 0
    if (isEqual && request.digest === digest.total) updateFreshness(freshness, answer.freshness, true)
    else updateFreshness(freshness, answer.freshness, false)
    if (answer.notices.length > 0) applyNotices(() => { addNotices(notices, answer.notices) })
    return !isEqual && await this.reconcile(peer, answer.buckets)
  }

  private async reconcile (peer: Peer, peerBuckets: readonly bigint[]): Promise<boolean> {
    const { digest, handlers, client, applyEntries, budget } = this.options
    const ownBuckets = digest.buckets
    const differing = peerBuckets.flatMap((hash, bucket) => hash === ownBuckets[bucket] ? [] : [bucket])
    if (differing.length === 0) return false
    this.differences++
    let changed = false
    for (let more = true; more && budget.hasTokens;) {
      const answer = await client.repair(peer, handlers.createRepairRequest(differing))
      if (answer === undefined) return changed
      const previousDigest = digest.total
      applyEntries(() => { handlers.acceptEntries(answer.entries.map(decodeEntry)) })
      changed ||= digest.total !== previousDigest
      await this.sendWanted(peer, answer.wanted)
      more = answer.more && answer.entries.length > 0
    }
    return changed
  }

  private async sendWanted (peer: Peer, wanted: readonly string[]): Promise<void> {
    const { handlers, client, budget } = this.options
    const entriesPerMessage = 200
    for (let start = 0; start < wanted.length && budget.hasTokens; start += entriesPerMessage) {
      const entries = wanted.slice(start, start + entriesPerMessage).map(key => handlers.findEntry(key)).filter(entry => entry !== undefined)
      if (!await client.push(peer, create(PushRequestSchema, { entries: entries.map(encodeEntry) }))) return
    }
  }

  /** The next comparison peer in turn that is not unresponsive; the next one when all are. */
  private nextPeer (): Peer | undefined {
    const { topology, readerElection } = this.options
    const { comparisonPeers } = topology
    for (let tries = 0; tries < comparisonPeers.length; tries++) {
      const peer = comparisonPeers[this.nextPeerIndex++ % comparisonPeers.length]
      if (peer !== undefined && !readerElection.isUnresponsive(peer.id)) return peer
    }
    return comparisonPeers[this.nextPeerIndex++ % Math.max(1, comparisonPeers.length)]
  }

  /** A random candidate ranked before this node, so that an unresponsive reader is detected. */
  private nextCandidate (): Peer | undefined {
    const { readerElection, random } = this.options
    const { precedingCandidates } = readerElection
    return precedingCandidates.length === 0 ? undefined : precedingCandidates[random.integerBelow(precedingCandidates.length)]
  }

  /** The contact of another failure domain; the domain is chosen at random each time. */
  private nextRemoteContact (): Peer | undefined {
    const { topology, readerElection, random, client } = this.options
    const otherDomains = topology.domainNames.filter(name => name !== topology.self.failureDomain)
    for (const name of otherDomains) for (const { region } of topology.getPeers(name).slice(0, 1)) client.trackRegion(region)
    const name = otherDomains.length === 0 ? undefined : otherDomains[random.integerBelow(otherDomains.length)]
    return name === undefined ? undefined : readerElection.findContact(name)
  }
}
