import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import type { Digest, Entry, Freshness, Replica } from '../configuration/index.js'
import { CompareResponseSchema, PushRequestSchema, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, Notice as NoticeMessage, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { ByteBudget } from './byte-budget.js'
import { maxNoticesPerComparison, messageOverheadBytes, targetRepairBytes } from './constants.js'
import { addNotices, compareVersion, decodeEntry, digestNotices, encodeEntry, encodeFreshness, encodeNotice, encodeVersion, updateFreshness } from './messages.js'
import type { Origin } from './outbox.js'

/** State that the relay keeps equal on all nodes. */
export interface ReplicatedState {
  readonly replicas: readonly Replica[]
  readonly digest: Digest
  readonly notices: Notices
  readonly freshness: Freshness
}

interface RelayHandlersOptions extends ReplicatedState {
  readonly clock: Clock
  readonly random: Random
  readonly budget: ByteBudget
  /** Runs `apply`, which accepts the entries of a push. */
  readonly applyEntries: (apply: () => void) => void
  /** Runs `apply`, which accepts the notices of a push. */
  readonly applyNotices: (apply: () => void) => void
  /** Queues the updates of a push for the next nodes of its tree. */
  readonly forward: (origin: Origin, entries: readonly Entry[], notices: readonly Notice[]) => void
  /** Records a message from `sender`, which the platform last answered `answeredMs` ago. */
  readonly recordReport: (sender: string, answeredMs: number | undefined) => void
}

/** Handles the relay messages of peers. */
export class RelayHandlers {
  private readonly options: RelayHandlersOptions

  private constructor (options: RelayHandlersOptions) {
    this.options = options
  }

  static create (options: RelayHandlersOptions): RelayHandlers {
    return new RelayHandlers(options)
  }

  /** Applies the updates of a push and forwards them down its tree; a push without a root is not forwarded. */
  push (request: PushRequest): Record<string, never> {
    const { applyEntries, applyNotices, notices, budget } = this.options
    budget.spend(toBinary(PushRequestSchema, request).length + messageOverheadBytes)
    const entries = request.entries.map(decodeEntry)
    applyEntries(() => { this.acceptEntries(entries) })
    applyNotices(() => { addNotices(notices, request.notices) })
    if (request.root !== '') this.forward({ root: request.root, rootDomain: request.rootDomain }, entries, request.notices)
    return {}
  }

  /** Compares the digests; the response has the hashes of all buckets when they differ, and none when they are equal. */
  compare (request: CompareRequest): CompareResponse {
    const { digest, notices, freshness, budget, clock, recordReport } = this.options
    recordReport(request.sender, request.freshness?.answeredMs)
    const isEqual = request.digest === digest.total
    updateFreshness(freshness, request.freshness, isEqual)
    const answer = create(CompareResponseSchema, {
      buckets: isEqual ? [] : [...digest.buckets],
      freshness: encodeFreshness(freshness),
      notices: request.notices === digestNotices(notices) ? [] : this.sampleNotices().map(notice => encodeNotice(notice, clock.now()))
    })
    budget.spend(toBinary(CompareResponseSchema, answer).length + messageOverheadBytes)
    return answer
  }

  /** Returns the entries that the peer lacks or has in an older edition, and the keys that this node lacks or has older. */
  repair (request: RepairRequest): RepairResponse {
    const { budget, digest } = this.options
    const answer = create(RepairResponseSchema, {})
    const peerVersions = new Map(request.versions.map(version => [version.key, version]))
    let bytes = 0
    for (const key of digest.keysIn(new Set(request.buckets))) {
      const held = this.findEntry(key)
      if (held === undefined) continue
      const version = peerVersions.get(key)
      peerVersions.delete(key)
      const { isPeerBehind, isPeerAhead } = version === undefined ? { isPeerBehind: true, isPeerAhead: false } : compareVersion(held, version)
      if (isPeerAhead) answer.wanted.push(key)
      if (!isPeerBehind) continue
      if (bytes > targetRepairBytes || !budget.hasTokens) {
        answer.more = true
        continue
      }
      answer.entries.push(encodeEntry(held))
      bytes += key.length + (held.text?.length ?? 0) + (held.good?.text.length ?? 0)
    }
    answer.wanted.push(...peerVersions.keys())
    budget.spend(toBinary(RepairRequestSchema, request).length + toBinary(RepairResponseSchema, answer).length + messageOverheadBytes)
    return answer
  }

  /** A limited number of notices from a random position, so that a peer is not sent the same ones repeatedly. */
  private sampleNotices (): Notice[] {
    const list = this.options.notices.list()
    if (list.length <= maxNoticesPerComparison) return list
    const start = this.options.random.integerBelow(list.length)
    return [...list.slice(start), ...list.slice(0, start)].slice(0, maxNoticesPerComparison)
  }

  /** Forwards the updates that this node holds after applying them; those rejected as older are not forwarded. */
  private forward (origin: Origin, entries: readonly Entry[], messages: readonly NoticeMessage[]): void {
    const { notices, forward } = this.options
    const currentEntries = entries.map(({ key, version }) => ({ held: this.findEntry(key), version }))
      .flatMap(({ held, version }) => held !== undefined && held.version === version ? [held] : [])
    const sentKeys = new Set(messages.map(({ kind, subject }) => `${kind}/${subject}`))
    const currentNotices = sentKeys.size === 0 ? [] : notices.list().filter(({ kind, subject }) => sentKeys.has(`${kind}/${subject}`))
    forward(origin, currentEntries, currentNotices)
  }

  /** Passes each entry of a peer to the replica that owns its key. */
  acceptEntries (entries: readonly Entry[]): void {
    for (const entry of entries) this.options.replicas.find(replica => replica.owns(entry.key))?.accept(entry, 'peer')
  }

  /** The entry held by the replica that owns `key`. */
  findEntry (key: string): Entry | undefined {
    return this.options.replicas.find(replica => replica.owns(key))?.get(key)
  }

  /** A request with the versions of all entries held in `buckets`, without their texts. */
  createRepairRequest (buckets: readonly number[]): RepairRequest {
    const held = [...this.options.digest.keysIn(new Set(buckets))].map(key => this.findEntry(key)).filter(entry => entry !== undefined)
    return create(RepairRequestSchema, { buckets: [...buckets], versions: held.map(encodeVersion) })
  }
}
