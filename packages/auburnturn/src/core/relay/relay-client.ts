import { setMaxListeners } from 'node:events'
import { toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import type { Clock } from '../clock/index.js'
import type { ControlClients } from '../control/index.js'
import { Relay as RelayService, CompareRequestSchema, CompareResponseSchema, PushRequestSchema, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { ByteBudget } from './byte-budget.js'
import { messageTimeoutMs, regionTimeoutMs, messageOverheadBytes } from './constants.js'
import type { ReaderElection } from './reader-election.js'
import type { Peer, Topology } from './topology.js'

interface RelayClientOptions {
  readonly clock: Clock
  readonly clients: ControlClients
  readonly budget: ByteBudget
  readonly readerElection: ReaderElection
  readonly topology: Topology
}

/** Sends relay messages to peers, counts their bytes and notes who is silent. */
export class RelayClient {
  messages = 0
  private readonly options: RelayClientOptions
  private readonly closing = new AbortController()
  /** Clock time of the last message that passed to or from each other region. */
  private readonly lastMessageTimes = new Map<string, number>()

  private constructor (options: RelayClientOptions) {
    this.options = options
    // One listener for each message under way.
    setMaxListeners(0, this.closing.signal)
  }

  static create (options: RelayClientOptions): RelayClient {
    return new RelayClient(options)
  }

  /** Delivers news; false when the peer did not answer. */
  async push (peer: Peer, message: PushRequest): Promise<boolean> {
    this.countRequest(PushRequestSchema, message)
    return await this.send(peer, async (client, options) => await client.push(message, options)) !== undefined
  }

  /** Compares digests; undefined when the peer did not answer. */
  async compare (peer: Peer, message: CompareRequest): Promise<CompareResponse | undefined> {
    this.countRequest(CompareRequestSchema, message)
    const answer = await this.send(peer, async (client, options) => await client.compare(message, options))
    if (answer === undefined) return undefined
    this.options.budget.spend(toBinary(CompareResponseSchema, answer).length)
    this.options.readerElection.recordAnswer(peer.id, answer.freshness?.answeredMs)
    return answer
  }

  /** Compares versions; undefined when the peer did not answer. */
  async repair (peer: Peer, message: RepairRequest): Promise<RepairResponse | undefined> {
    this.countRequest(RepairRequestSchema, message)
    const answer = await this.send(peer, async (client, options) => await client.repair(message, options))
    if (answer !== undefined) this.options.budget.spend(toBinary(RepairResponseSchema, answer).length)
    return answer
  }

  /** A message from or to a member of `region` passed. */
  recordRegion (region: string): void {
    if (region !== this.options.topology.self.region) this.lastMessageTimes.set(region, this.options.clock.now())
  }

  /** Starts the wait for a region that was not heard of before. */
  trackRegion (region: string): void {
    if (!this.lastMessageTimes.has(region)) this.recordRegion(region)
  }

  /** Regions that no message has passed to or from for `apartMs`, with the milliseconds since. */
  get disconnectedRegions (): Map<string, number> {
    const now = this.options.clock.now()
    return new Map([...this.lastMessageTimes].map(([region, at]): [string, number] => [region, now - at]).filter(([, ageMs]) => ageMs > regionTimeoutMs))
  }

  close (): void {
    this.closing.abort()
  }

  private async send<Answer> (peer: Peer, send: (client: Client<typeof RelayService>, options: { timeoutMs: number, signal: AbortSignal }) => Promise<Answer>): Promise<Answer | undefined> {
    try {
      const answer = await send(this.options.clients.getClient(RelayService, peer), { timeoutMs: messageTimeoutMs, signal: this.closing.signal })
      this.recordRegion(peer.region)
      return answer
    } catch {
      this.options.readerElection.recordFailure(peer.id)
      return undefined
    }
  }

  private countRequest<Schema extends DescMessage> (schema: Schema, message: MessageShape<Schema>): void {
    this.messages++
    this.options.budget.spend(toBinary(schema, message).length + messageOverheadBytes)
  }
}
