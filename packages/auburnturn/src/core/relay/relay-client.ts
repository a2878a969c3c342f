import { setMaxListeners } from 'node:events'
import { toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import type { Clock } from '../clock/index.js'
import type { ControlClients } from '../control/index.js'
import { CompareRequestSchema, CompareResponseSchema, PushRequestSchema, Relay as RelayService, RepairRequestSchema, RepairResponseSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, CompareResponse, PushRequest, RepairRequest, RepairResponse } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { ByteBudget } from './byte-budget.js'
import { messageOverheadBytes, messageTimeoutMs, regionTimeoutMs } from './constants.js'
import type { ReaderElection } from './reader-election.js'
import type { Peer, Topology } from './topology.js'

interface RelayClientOptions {
  readonly clock: Clock
  readonly controlClients: ControlClients
  readonly budget: ByteBudget
  readonly readerElection: ReaderElection
  readonly topology: Topology
}

/** Sends relay messages to peers, counts their bytes and records which peers are unresponsive. */
export class RelayClient {
  /** Requests sent so far. */
  messages = 0
  private readonly options: RelayClientOptions
  private readonly closing = new AbortController()
  /** Clock time of the last message to or from each other region. */
  private readonly lastMessageTimes = new Map<string, number>()

  private constructor (options: RelayClientOptions) {
    this.options = options
    // Each message in flight adds one listener.
    setMaxListeners(0, this.closing.signal)
  }

  static create (options: RelayClientOptions): RelayClient {
    return new RelayClient(options)
  }

  /** Pushes updates; false when the peer did not answer. */
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

  /** Records a message to or from a member of `region`. */
  recordRegion (region: string): void {
    if (region !== this.options.topology.self.region) this.lastMessageTimes.set(region, this.options.clock.now())
  }

  /** Starts the timeout of a region that no message has been exchanged with yet. */
  trackRegion (region: string): void {
    if (!this.lastMessageTimes.has(region)) this.recordRegion(region)
  }

  /** Regions without a message to or from them for `regionTimeoutMs`, with the milliseconds since the last one. */
  get disconnectedRegions (): Map<string, number> {
    const now = this.options.clock.now()
    return new Map([...this.lastMessageTimes].map(([region, at]): [string, number] => [region, now - at]).filter(([, ageMs]) => ageMs > regionTimeoutMs))
  }

  close (): void {
    this.closing.abort()
  }

  private async send<Answer> (peer: Peer, call: (client: Client<typeof RelayService>, options: { timeoutMs: number, signal: AbortSignal }) => Promise<Answer>): Promise<Answer | undefined> {
    try {
      const answer = await call(this.options.controlClients.getClient(RelayService, peer), { timeoutMs: messageTimeoutMs, signal: this.closing.signal })
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
