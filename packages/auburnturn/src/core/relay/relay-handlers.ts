import { create, toBinary } from '@bufbuild/protobuf'
import type { Digest, Entry, Freshness, Replica } from '../configuration/index.js'
import { CompareResponseSchema, PushRequestSchema, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, Notice as NoticeMessage, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Clock } from '../clock/index.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { ByteBudget } from './byte-budget.js'
import { maxNoticesPerComparison, messageOverheadBytes, targetRepairBytes } from './constants.js'
import { compareVersion, digestNotices, encodeEntry, encodeFreshness, encodeNotice, encodeVersion, updateFreshness, addNotices, decodeEntry } from './messages.js'
import type { Origin } from './outbox.js'

/** What the relay keeps equal between nodes. */
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
  /** Called around entries, and around notices, that come down a tree. */
  readonly applyEntries: (take: () => void) => void
  readonly applyNotices: (take: () => void) => void
  /** Passes on what came down a tree. */
  readonly forward: (origin: Origin, entries: readonly Entry[], notices: readonly Notice[]) => void
  /** Notes that a node was heard. */
  readonly recordReport: (sender: string, answeredMs: number | undefined) => void
}

/** Answers the relay messages of peers. */
export class RelayHandlers {
  private readonly options: RelayHandlersOptions

  private constructor (options: RelayHandlersOptions) {
    this.options = options
  }

  static create (options: RelayHandlersOptions): RelayHandlers {
    return new RelayHandlers(options)
  }

  push (request: PushRequest): Record<string, never> {
    const { applyEntries: receive, applyNotices: receiveNotices, notices, budget } = this.options
    budget.spend(toBinary(PushRequestSchema, request).length + messageOverheadBytes)
    const entries = request.entries.map(decodeEntry)
    receive(() => { this.acceptEntries(entries) })
    receiveNotices(() => { addNotices(notices, request.notices) })
    if (request.root !== '') this.forward({ root: request.root, rootDomain: request.rootDomain }, entries, request.notices)
    return {}
  }

  compare (request: CompareRequest): CompareResponse {
    const { digest, notices, freshness, budget, clock, recordReport: hear } = this.options
    hear(request.sender, request.freshness?.answeredMs)
    const equal = request.digest === digest.total
    updateFreshness(freshness, request.freshness, equal)
    const answer = create(CompareResponseSchema, {
      buckets: equal ? [] : [...digest.buckets],
      freshness: encodeFreshness(freshness),
      notices: request.notices === digestNotices(notices) ? [] : this.sampleNotices().map(notice => encodeNotice(notice, clock.now()))
    })
    budget.spend(toBinary(CompareResponseSchema, answer).length + messageOverheadBytes)
    return answer
  }

  repair (request: RepairRequest): RepairResponse {
    const { budget, digest } = this.options
    const answer = create(RepairResponseSchema, {})
    const theirs = new Map(request.versions.map(version => [version.key, version]))
    let bytes = 0
    for (const key of digest.keysIn(new Set(request.buckets))) {
      const held = this.findEntry(key)
      if (held === undefined) continue
      const version = theirs.get(key)
      theirs.delete(key)
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
    answer.wanted.push(...theirs.keys())
    budget.spend(toBinary(RepairRequestSchema, request).length + toBinary(RepairResponseSchema, answer).length + messageOverheadBytes)
    return answer
  }

  /** A few notices from a place drawn each time, so that no peer is offered the same ones again and again. */
  private sampleNotices (): Notice[] {
    const list = this.options.notices.list()
    if (list.length <= maxNoticesPerComparison) return list
    const start = this.options.random.below(list.length)
    return [...list.slice(start), ...list.slice(0, start)].slice(0, maxNoticesPerComparison)
  }

  /** Passes on what is in force here too; what was refused as older goes no further. */
  private forward (origin: Origin, entries: readonly Entry[], messages: readonly NoticeMessage[]): void {
    const { notices, forward } = this.options
    const current = entries.map(({ key, version }) => ({ held: this.findEntry(key), version }))
      .flatMap(({ held, version }) => held !== undefined && held.version === version ? [held] : [])
    const told = new Set(messages.map(({ kind, subject }) => `${kind}/${subject}`))
    const known = told.size === 0 ? [] : notices.list().filter(({ kind, subject }) => told.has(`${kind}/${subject}`))
    forward(origin, current, known)
  }

  /** Offers entries of a peer to the replica that each belongs to. */
  acceptEntries (entries: readonly Entry[]): void {
    for (const entry of entries) this.options.replicas.find(replica => replica.owns(entry.key))?.accept(entry, 'peer')
  }

  findEntry (key: string): Entry | undefined {
    return this.options.replicas.find(replica => replica.owns(key))?.get(key)
  }

  /** Everything held in some buckets, without texts. */
  createRepairRequest (buckets: readonly number[]): RepairRequest {
    const held = [...this.options.digest.keysIn(new Set(buckets))].map(key => this.findEntry(key)).filter(entry => entry !== undefined)
    return create(RepairRequestSchema, { buckets: [...buckets], versions: held.map(encodeVersion) })
  }
}
