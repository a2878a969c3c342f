import { create, toBinary } from '@bufbuild/protobuf'
import type { Digest, Entry, Freshness, Replica } from '../configuration/index.js'
import { CompareResponseSchema, PushRequestSchema, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, Notice as NoticeMessage, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Clock } from '../clock/index.js'
import type { Notice, Notices } from '../notices/index.js'
import type { Random } from '../random/index.js'
import type { Budget } from './budget.js'
import { comparedNotices, overheadBytes, repairBytes } from './constants.js'
import { compareVersion, digestNotices, packEntry, packFreshness, packNotice, packVersion, takeFreshness, takeNotices, unpackEntry } from './messages.js'
import type { Origin } from './outbox.js'

/** What the relay keeps equal between nodes. */
export interface Holdings {
  readonly replicas: readonly Replica[]
  readonly digest: Digest
  readonly notices: Notices
  readonly freshness: Freshness
}

interface Parts extends Holdings {
  readonly clock: Clock
  readonly random: Random
  readonly budget: Budget
  /** Called around entries, and around notices, that come down a tree. */
  readonly receive: (take: () => void) => void
  readonly receiveNotices: (take: () => void) => void
  /** Passes on what came down a tree. */
  readonly forward: (origin: Origin, entries: readonly Entry[], notices: readonly Notice[]) => void
  /** Notes that a node was heard. */
  readonly hear: (sender: string, answeredMs: number | undefined) => void
}

/** Answers the relay messages of peers. */
export class Answers {
  private readonly parts: Parts

  private constructor (parts: Parts) {
    this.parts = parts
  }

  static create (parts: Parts): Answers {
    return new Answers(parts)
  }

  push (request: PushRequest): Record<string, never> {
    const { receive, receiveNotices, notices, budget } = this.parts
    budget.spend(toBinary(PushRequestSchema, request).length + overheadBytes)
    const entries = request.entries.map(unpackEntry)
    receive(() => { this.take(entries) })
    receiveNotices(() => { takeNotices(notices, request.notices) })
    if (request.root !== '') this.forward({ root: request.root, rootDomain: request.rootDomain }, entries, request.notices)
    return {}
  }

  compare (request: CompareRequest): CompareResponse {
    const { digest, notices, freshness, budget, clock, hear } = this.parts
    hear(request.sender, request.freshness?.answeredMs)
    const equal = request.digest === digest.total
    takeFreshness(freshness, request.freshness, equal)
    const answer = create(CompareResponseSchema, {
      buckets: equal ? [] : [...digest.buckets],
      freshness: packFreshness(freshness),
      notices: request.notices === digestNotices(notices) ? [] : this.drawNotices().map(notice => packNotice(notice, clock.now()))
    })
    budget.spend(toBinary(CompareResponseSchema, answer).length + overheadBytes)
    return answer
  }

  repair (request: RepairRequest): RepairResponse {
    const { budget, digest } = this.parts
    const answer = create(RepairResponseSchema, {})
    const theirs = new Map(request.versions.map(version => [version.key, version]))
    let bytes = 0
    for (const key of digest.keysIn(new Set(request.buckets))) {
      const held = this.find(key)
      if (held === undefined) continue
      const version = theirs.get(key)
      theirs.delete(key)
      const { lacks, ahead } = version === undefined ? { lacks: true, ahead: false } : compareVersion(held, version)
      if (ahead) answer.wanted.push(key)
      if (!lacks) continue
      if (bytes > repairBytes || !budget.isOpen) {
        answer.more = true
        continue
      }
      answer.entries.push(packEntry(held))
      bytes += key.length + (held.text?.length ?? 0) + (held.good?.text.length ?? 0)
    }
    answer.wanted.push(...theirs.keys())
    budget.spend(toBinary(RepairRequestSchema, request).length + toBinary(RepairResponseSchema, answer).length + overheadBytes)
    return answer
  }

  /** A few notices from a place drawn each time, so that no peer is offered the same ones again and again. */
  private drawNotices (): Notice[] {
    const list = this.parts.notices.list()
    if (list.length <= comparedNotices) return list
    const start = this.parts.random.integerBelow(list.length)
    return [...list.slice(start), ...list.slice(0, start)].slice(0, comparedNotices)
  }

  /** Passes on what is in force here too; what was refused as older goes no further. */
  private forward (origin: Origin, entries: readonly Entry[], messages: readonly NoticeMessage[]): void {
    const { notices, forward } = this.parts
    const current = entries.map(({ key, version }) => ({ held: this.find(key), version }))
      .flatMap(({ held, version }) => held !== undefined && held.version === version ? [held] : [])
    const told = new Set(messages.map(({ kind, subject }) => `${kind}/${subject}`))
    const known = told.size === 0 ? [] : notices.list().filter(({ kind, subject }) => told.has(`${kind}/${subject}`))
    forward(origin, current, known)
  }

  /** Offers entries of a peer to the replica that each belongs to. */
  take (entries: readonly Entry[]): void {
    for (const entry of entries) this.parts.replicas.find(replica => replica.owns(entry.key))?.accept(entry, 'peer')
  }

  find (key: string): Entry | undefined {
    return this.parts.replicas.find(replica => replica.owns(key))?.get(key)
  }

  /** Everything held in some buckets, without texts. */
  describe (buckets: readonly number[]): RepairRequest {
    const held = [...this.parts.digest.keysIn(new Set(buckets))].map(key => this.find(key)).filter(entry => entry !== undefined)
    return create(RepairRequestSchema, { buckets: [...buckets], versions: held.map(packVersion) })
  }
}
