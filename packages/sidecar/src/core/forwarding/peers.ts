import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyMemory, ExchangeResult } from '../exchange/index.js'
import { mayHaveRun, notRun } from '../own-target/index.js'
import type { Job, Outcome } from '../own-target/index.js'
import type { Candidate } from '../targets/index.js'
import type { Configuration } from '../configuration/index.js'
import type { SharedState } from '../following/index.js'
import { configurationTimeoutMs, configurationPath, maxPeerConnections, peerConnectTimeoutMs, stateTimeoutMs, statePath } from './constants.js'
import { formatHop, hopHeader } from './hop-header.js'
import { parseOutcome } from './outcome-headers.js'
import { decompressJson } from './compression.js'
import type { Protocol } from './types.js'

/** Connections to the other nodes, and requests sent over them. */
export class Peers {
  private readonly options: PeersOptions
  private readonly pools = new Map<string, ConnectionPool>()

  private constructor (options: PeersOptions) {
    this.options = options
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  /** Passes a request to the node beside a target. */
  async send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { clock, protocol } = this.options
    const timeoutMs = job.endsAt - clock.now()
    if (timeoutMs <= 0) return notRun('expired')
    const headers = protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target: target.id })
    headers.push(hopHeader, formatHop({ ...job, objectiveRemainingMs: job.wantedBy - clock.now() }))
    const connections = this.findPool(target.ip)
    const reply = await exchange({
      connections,
      clock,
      method: job.method,
      path: job.path,
      headers,
      body: job.body,
      connectMs: peerConnectTimeoutMs,
      timeoutMs,
      signal,
      matchesRequest: (status, answered) => parseOutcome(answered) !== undefined || protocol.readAnswer(status, answered).id === job.id
    })
    // The others may have fallen silent with this one.
    if (reply.kind === 'lost' && reply.cause === 'timeout') connections.closeIdle()
    return toOutcome(reply)
  }

  /** Asks the node at an address for its configuration and targets. */
  async readState (ip: string): Promise<SharedState | undefined> {
    const reply = await this.get(ip, statePath, stateTimeoutMs)
    return reply.kind === 'answer' && reply.status === 200 ? decompressJson(reply.body) as SharedState : undefined
  }

  /** Asks the node at an address for its configuration; it does not tell a long one. */
  async readConfiguration (ip: string): Promise<Configuration | 'long' | undefined> {
    const reply = await this.get(ip, configurationPath, configurationTimeoutMs)
    if (reply.kind !== 'answer') return undefined
    if (reply.status === 204) return 'long'
    return reply.status === 200 ? decompressJson(reply.body) as Configuration : undefined
  }

  close (): void {
    for (const connections of this.pools.values()) connections.close()
  }

  private async get (ip: string, path: string, timeoutMs: number): Promise<ExchangeResult> {
    const { clock } = this.options
    return await exchange({ connections: this.findPool(ip), clock, method: 'GET', path, headers: ['host', ip], body: Buffer.alloc(0), connectMs: peerConnectTimeoutMs, timeoutMs })
  }

  private findPool (ip: string): ConnectionPool {
    const known = this.pools.get(ip)
    if (known !== undefined) return known
    const fresh = ConnectionPool.create({ address: `${ip}:${this.options.port}`, limit: maxPeerConnections, clock: this.options.clock, memory: this.options.memory })
    this.pools.set(ip, fresh)
    return fresh
  }
}

function toOutcome (reply: ExchangeResult): Outcome {
  switch (reply.kind) {
    case 'unsent': return reply.cause === 'left' ? notRun('left') : notRun('unreachable')
    case 'lost': return mayHaveRun(reply.cause)
    case 'answer': return parseOutcome(reply.headers) ?? { kind: 'answer', status: reply.status, headers: reply.headers, body: reply.body }
  }
}

interface PeersOptions {
  /** The port for other nodes, the same on all VMs. */
  readonly port: number
  readonly clock: Clock
  /** Bounds their answers, with all others. */
  readonly memory: BodyMemory
  readonly protocol: Protocol
}
