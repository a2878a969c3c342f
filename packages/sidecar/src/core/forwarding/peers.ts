import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import { Connections, exchange } from '../exchange/index.js'
import type { BodyMemory, Reply } from '../exchange/index.js'
import { mayHaveRun, notRun } from '../own-target/index.js'
import type { Job, Outcome } from '../own-target/index.js'
import type { Candidate } from '../targets/index.js'
import type { Configuration } from '../configuration/index.js'
import type { SharedState } from '../following/index.js'
import { configurationMs, configurationPath, maxPeerConnections, peerConnectMs, stateMs, statePath } from './constants.js'
import { formatHop, hopHeader } from './hop-header.js'
import { parseOutcome } from './outcome-headers.js'
import { unpack } from './packing.js'
import type { Protocol } from './types.js'

/** Connections to the other nodes, and requests sent over them. */
export class Peers {
  private readonly options: PeersOptions
  private readonly connections = new Map<string, Connections>()

  private constructor (options: PeersOptions) {
    this.options = options
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  /** Passes a request to the node beside a target. */
  async send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { clock, protocol } = this.options
    const timeoutMs = job.deadlineAt - clock.now()
    if (timeoutMs <= 0) return notRun('expired')
    const headers = protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target: target.id })
    headers.push(hopHeader, formatHop({ ...job, wantedMs: job.objectiveAt - clock.now() }))
    const connections = this.connectionsTo(target.ip)
    const reply = await exchange({
      connections,
      clock,
      method: job.method,
      path: job.path,
      headers,
      body: job.body,
      connectMs: peerConnectMs,
      timeoutMs,
      signal,
      accept: (status, answered) => parseOutcome(answered) !== undefined || protocol.readAnswer(status, answered).id === job.id
    })
    // The others may have fallen silent with this one.
    if (reply.kind === 'lost' && reply.cause === 'timeout') connections.dropIdle()
    return readReply(reply)
  }

  /** Asks the node at an address for its configuration and targets. */
  async readState (ip: string): Promise<SharedState | undefined> {
    const reply = await this.get(ip, statePath, stateMs)
    return reply.kind === 'answer' && reply.status === 200 ? unpack(reply.body) as SharedState : undefined
  }

  /** Asks the node at an address for its configuration; it does not tell a long one. */
  async readConfiguration (ip: string): Promise<Configuration | 'long' | undefined> {
    const reply = await this.get(ip, configurationPath, configurationMs)
    if (reply.kind !== 'answer') return undefined
    if (reply.status === 204) return 'long'
    return reply.status === 200 ? unpack(reply.body) as Configuration : undefined
  }

  close (): void {
    for (const connections of this.connections.values()) connections.close()
  }

  private async get (ip: string, path: string, timeoutMs: number): Promise<Reply> {
    const { clock } = this.options
    return await exchange({ connections: this.connectionsTo(ip), clock, method: 'GET', path, headers: ['host', ip], body: Buffer.alloc(0), connectMs: peerConnectMs, timeoutMs })
  }

  private connectionsTo (ip: string): Connections {
    const known = this.connections.get(ip)
    if (known !== undefined) return known
    const fresh = Connections.create({ address: `${ip}:${this.options.port}`, limit: maxPeerConnections, clock: this.options.clock, memory: this.options.memory })
    this.connections.set(ip, fresh)
    return fresh
  }
}

function readReply (reply: Reply): Outcome {
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
