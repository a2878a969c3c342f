import { setMaxListeners } from 'node:events'
import { toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import type { Clock } from '../clock/index.js'
import type { ControlClients } from '../control/index.js'
import { Relay as RelayService, CompareRequestSchema, CompareResponseSchema, PushRequestSchema, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { Budget } from './budget.js'
import { answerMs, apartMs, overheadBytes } from './constants.js'
import type { Readership } from './readership.js'
import type { Peer, Topology } from './topology.js'

interface Parts {
  readonly clock: Clock
  readonly clients: ControlClients
  readonly budget: Budget
  readonly readership: Readership
  readonly topology: Topology
}

/** Sends relay messages to peers, counts their bytes and notes who is silent. */
export class Link {
  messages = 0
  private readonly parts: Parts
  private readonly closing = new AbortController()
  /** Clock time of the last message that passed to or from each other region. */
  private readonly regions = new Map<string, number>()

  private constructor (parts: Parts) {
    this.parts = parts
    // One listener for each message under way.
    setMaxListeners(0, this.closing.signal)
  }

  static create (parts: Parts): Link {
    return new Link(parts)
  }

  /** Delivers news; false when the peer did not answer. */
  async push (peer: Peer, message: PushRequest): Promise<boolean> {
    this.count(PushRequestSchema, message)
    return await this.attempt(peer, async (client, options) => await client.push(message, options)) !== undefined
  }

  /** Compares digests; undefined when the peer did not answer. */
  async compare (peer: Peer, message: CompareRequest): Promise<CompareResponse | undefined> {
    this.count(CompareRequestSchema, message)
    const answer = await this.attempt(peer, async (client, options) => await client.compare(message, options))
    if (answer === undefined) return undefined
    this.parts.budget.spend(toBinary(CompareResponseSchema, answer).length)
    this.parts.readership.noteAnswer(peer.id, answer.freshness?.answeredMs)
    return answer
  }

  /** Compares versions; undefined when the peer did not answer. */
  async repair (peer: Peer, message: RepairRequest): Promise<RepairResponse | undefined> {
    this.count(RepairRequestSchema, message)
    const answer = await this.attempt(peer, async (client, options) => await client.repair(message, options))
    if (answer !== undefined) this.parts.budget.spend(toBinary(RepairResponseSchema, answer).length)
    return answer
  }

  /** A message from or to a member of `region` passed. */
  noteRegion (region: string): void {
    if (region !== this.parts.topology.self.region) this.regions.set(region, this.parts.clock.now())
  }

  /** Starts the wait for a region that was not heard of before. */
  expectRegion (region: string): void {
    if (!this.regions.has(region)) this.noteRegion(region)
  }

  /** Regions that no message has passed to or from for `apartMs`, with the milliseconds since. */
  get apart (): Map<string, number> {
    const now = this.parts.clock.now()
    return new Map([...this.regions].map(([region, at]): [string, number] => [region, now - at]).filter(([, ageMs]) => ageMs > apartMs))
  }

  close (): void {
    this.closing.abort()
  }

  private async attempt<Answer> (peer: Peer, send: (client: Client<typeof RelayService>, options: { timeoutMs: number, signal: AbortSignal }) => Promise<Answer>): Promise<Answer | undefined> {
    try {
      const answer = await send(this.parts.clients.clientOf(RelayService, peer), { timeoutMs: answerMs, signal: this.closing.signal })
      this.noteRegion(peer.region)
      return answer
    } catch {
      this.parts.readership.noteSilence(peer.id)
      return undefined
    }
  }

  private count<Schema extends DescMessage> (schema: Schema, message: MessageShape<Schema>): void {
    this.messages++
    this.parts.budget.spend(toBinary(schema, message).length + overheadBytes)
  }
}
