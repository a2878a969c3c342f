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

/** Sends requests to other nodes, with one connection pool for each. */
export class Peers {
  private readonly options: PeersOptions
  private readonly pools = new Map<string, ConnectionPool>()

  private constructor (options: PeersOptions) {
    this.options = options
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  /** Sends a request to the node on the VM of a target. */
  async send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { clock, protocol } = this.options
    const timeoutMs = job.deadlineAt - clock.now()
    if (timeoutMs <= 0) return notRun('expired')
    const headers = protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target: target.id })
    headers.push(hopHeader, formatHop({ ...job, objectiveRemainingMs: job.objectiveAt - clock.now() }))
    const connections = this.getPool(target.ip)
    const result = await exchange({
      connections,
      clock,
      method: job.method,
      path: job.path,
      headers,
      body: job.body,
      connectMs: peerConnectTimeoutMs,
      timeoutMs,
      signal,
      matchesRequest: (status, answerHeaders) => parseOutcome(answerHeaders) !== undefined || protocol.readAnswer(status, answerHeaders).id === job.id
    })
    // The idle connections may have become unresponsive together with this one.
    if (result.kind === 'lost' && result.cause === 'timeout') connections.closeIdle()
    return toOutcome(result)
  }

  /** Reads the configuration and the targets from the node at `ip`; undefined when it does not provide them. */
  async readState (ip: string): Promise<SharedState | undefined> {
    const result = await this.get(ip, statePath, stateTimeoutMs)
    return result.kind === 'answer' && result.status === 200 ? decompressJson(result.body) as SharedState : undefined
  }

  /** Reads the configuration from the node at `ip`; 'long' when it is too large for that node to serve. */
  async readConfiguration (ip: string): Promise<Configuration | 'long' | undefined> {
    const result = await this.get(ip, configurationPath, configurationTimeoutMs)
    if (result.kind !== 'answer') return undefined
    if (result.status === 204) return 'long'
    return result.status === 200 ? decompressJson(result.body) as Configuration : undefined
  }

  close (): void {
    for (const pool of this.pools.values()) pool.close()
  }

  private async get (ip: string, path: string, timeoutMs: number): Promise<ExchangeResult> {
    const { clock } = this.options
    return await exchange({ connections: this.getPool(ip), clock, method: 'GET', path, headers: ['host', ip], body: Buffer.alloc(0), connectMs: peerConnectTimeoutMs, timeoutMs })
  }

  private getPool (ip: string): ConnectionPool {
    const existing = this.pools.get(ip)
    if (existing !== undefined) return existing
    const created = ConnectionPool.create({ address: `${ip}:${this.options.port}`, limit: maxPeerConnections, clock: this.options.clock, memory: this.options.memory })
    this.pools.set(ip, created)
    return created
  }
}

function toOutcome (result: ExchangeResult): Outcome {
  switch (result.kind) {
    case 'unsent': return result.cause === 'left' ? notRun('left') : notRun('unreachable')
    case 'lost': return mayHaveRun(result.cause)
    case 'answer': return parseOutcome(result.headers) ?? { kind: 'answer', status: result.status, headers: result.headers, body: result.body }
  }
}

interface PeersOptions {
  /** Port on which every node serves the other nodes. */
  readonly port: number
  readonly clock: Clock
  /** Limits the answer bodies that are being received, together with the other bodies of the process. */
  readonly memory: BodyMemory
  readonly protocol: Protocol
}
