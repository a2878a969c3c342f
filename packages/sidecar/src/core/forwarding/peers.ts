import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Random } from 'auburnturn/core/random'
import { CallNumbers, formatRead, isReadAnswer } from '../attribution/index.js'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { ExchangeResult } from '../exchange/index.js'
import { callPeer, PeerConnectionPool } from '../peer-calls/index.js'
import type { PeerCallResult } from '../peer-calls/index.js'
import type { Candidate } from '../targets/index.js'
import type { Configuration } from '../configuration/index.js'
import { decodeSharedState } from '../following/index.js'
import type { SharedState } from '../following/index.js'
import { decodeSharedConfiguration } from '../store/index.js'
import { mayHaveRun, notRun } from '../requests/index.js'
import type { Job, Outcome } from '../requests/index.js'
import { configurationTimeoutMs, configurationPath, maxPeerConnections, maxStateConnections, peerConnectTimeoutMs, stateTimeoutMs, statePath } from './constants.js'
import { formatRequest, parseOutcome } from './hop-message.js'
import { decompressJson } from './compression.js'

/** Sends requests to other nodes, with one connection pool for each. */
export class Peers {
  private readonly options: PeersOptions
  private readonly callNumbers: CallNumbers
  private readonly callPools = new Map<string, PeerConnectionPool>()
  private readonly statePools = new Map<string, ConnectionPool>()

  private constructor (options: PeersOptions) {
    this.options = options
    this.callNumbers = CallNumbers.create(options)
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  /** Sends a request to the node on the VM of a target. */
  async send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { clock, bodyLimits } = this.options
    const now = clock.now()
    const timeoutMs = job.deadlineAt - now
    if (timeoutMs <= 0) return notRun('expired')
    const connections = this.getCallPool(target.ip)
    const mark = { number: this.callNumbers.next(), request: job.id }
    const result = await callPeer(connections, { frame: formatRequest(job, target.id, now), mark, clock, bodyLimits, connectMs: peerConnectTimeoutMs, timeoutMs, signal })
    // The idle connections may have become unresponsive together with this one.
    if (result.kind === 'lost' && result.cause === 'timeout') connections.closeIdle()
    return toOutcome(result)
  }

  /** Reads the configuration and the targets from the node at `ip`; undefined when it does not provide them. */
  async readState (ip: string): Promise<SharedState | undefined> {
    const result = await this.get(ip, statePath, stateTimeoutMs)
    return result.kind === 'answer' && result.status === 200 ? decodeSharedState(decompressJson(result.body)) : undefined
  }

  /** Reads the configuration from the node at `ip`; 'long' when it is too large for that node to serve. */
  async readConfiguration (ip: string): Promise<Configuration | 'long' | undefined> {
    const result = await this.get(ip, configurationPath, configurationTimeoutMs)
    if (result.kind !== 'answer') return undefined
    if (result.status === 204) return 'long'
    return result.status === 200 ? decodeSharedConfiguration(decompressJson(result.body)) : undefined
  }

  close (): void {
    for (const pool of this.callPools.values()) pool.close()
    for (const pool of this.statePools.values()) pool.close()
  }

  private async get (ip: string, path: string, timeoutMs: number): Promise<ExchangeResult> {
    const { clock } = this.options
    const mark = { number: this.callNumbers.next(), path }
    return await exchange({
      connections: this.getStatePool(ip),
      clock,
      method: 'GET',
      path,
      headers: ['host', ip, ...formatRead(mark)],
      body: Buffer.alloc(0),
      connectMs: peerConnectTimeoutMs,
      timeoutMs,
      belongs: ({ headers }) => isReadAnswer(mark, headers)
    })
  }

  private getCallPool (ip: string): PeerConnectionPool {
    const existing = this.callPools.get(ip)
    if (existing !== undefined) return existing
    const created = PeerConnectionPool.create({ host: ip, port: this.options.callPort, limit: maxPeerConnections })
    this.callPools.set(ip, created)
    return created
  }

  private getStatePool (ip: string): ConnectionPool {
    const { statePort, clock, bodyLimits } = this.options
    const existing = this.statePools.get(ip)
    if (existing !== undefined) return existing
    const created = ConnectionPool.create({ address: `${ip}:${statePort}`, limit: maxStateConnections, clock, bodyLimits })
    this.statePools.set(ip, created)
    return created
  }
}

function toOutcome (result: PeerCallResult): Outcome {
  switch (result.kind) {
    case 'unsent': return result.cause === 'left' ? notRun('left') : notRun('unreachable')
    case 'lost': return mayHaveRun(result.cause)
    case 'answer': return parseOutcome(result.frame)
  }
}

interface PeersOptions {
  /** Port on which every node serves requests of other nodes. */
  readonly callPort: number
  /** Port on which every node serves its state to other nodes. */
  readonly statePort: number
  readonly clock: Clock
  /** Chooses the first number of the calls. */
  readonly random: Random
  /** Limits the answer bodies that are being received, together with the other bodies of the process. */
  readonly bodyLimits: BodyLimits
}
