import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { Exchange } from '../http/index.js'
import type { Directory, Member } from '../membership/index.js'

/** Connections to a node that carried no call for this long are closed, in milliseconds. */
const unusedMs = 600_000

interface Peer { readonly exchange: Exchange, usedAt: number }

/** Kept-alive connections to the nodes beside other targets. */
export class Peers {
  private readonly peers = new Map<string, Peer>()
  private readonly clock: Clock
  private readonly directory: Directory
  private readonly connections: number
  private readonly headerBytes: number

  private constructor ({ clock, directory, connections, headerBytes }: PeersOptions) {
    this.clock = clock
    this.directory = directory
    this.connections = connections
    this.headerBytes = headerBytes
  }

  /** At most `connections` to one target. */
  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  /** One attempt at a call through the node beside `member`. */
  readonly attempt = async (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> => {
    const outcome = await this.exchangeOf(member).send(call, body, answer, this.describe(call))
    if (outcome.incarnation !== undefined) this.directory.recordAnswer(member, outcome.incarnation)
    return outcome
  }

  async close (): Promise<void> {
    await Promise.all([...this.peers.values()].map(async ({ exchange }) => { await exchange.close() }))
  }

  dump (): unknown {
    return { nodes: [...this.peers.values()].map(({ exchange }) => exchange.dump()) }
  }

  /** What the other node must know of the call besides its own head. */
  private describe (call: Call): RawHeaders {
    const headers = [
      headerNames.service, call.service,
      headerNames.callId, call.id,
      headerNames.caller, call.caller,
      headerNames.timeout, formatRemaining(call, this.clock),
      headerNames.attempt, String(call.attempt),
      headerNames.depth, String(call.depth - 1),
      headerNames.idempotent, call.idempotent ? 'yes' : 'no'
    ]
    if (call.ticket !== undefined) headers.push(headerNames.ticket, call.ticket)
    if (call.successorWanted === true) headers.push(headerNames.successor, 'wanted')
    return headers
  }

  private exchangeOf (member: Member): Exchange {
    const origin = `http://${member.ip.includes(':') ? `[${member.ip}]` : member.ip}:${member.peerPort}`
    const now = this.clock.now()
    const known = this.peers.get(origin)
    if (known !== undefined) {
      known.usedAt = now
      return known.exchange
    }
    this.dropUnused(now)
    const exchange = Exchange.create({ origin, maxConnections: this.connections, clock: this.clock, isPeer: true, maxHeaderBytes: this.headerBytes })
    this.peers.set(origin, { exchange, usedAt: now })
    return exchange
  }

  /** Members come and go for as long as the process runs; what it holds for the gone ones must not grow. */
  private dropUnused (now: number): void {
    for (const [origin, { exchange, usedAt }] of this.peers) {
      if (now - usedAt < unusedMs || exchange.busy) continue
      this.peers.delete(origin)
      exchange.close().catch(() => {})
    }
  }
}

/** What the upstream is told of a call: its time remaining, its depth, and the attempts before. */
export function describeToUpstream (call: Call, clock: Clock): RawHeaders {
  return [
    headerNames.timeout, formatRemaining(call, clock),
    headerNames.depth, String(call.depth),
    headerNames.attempt, String(call.attempt)
  ]
}

function formatRemaining (call: Call, clock: Clock): string {
  return String(Math.max(1, Math.floor(call.deadline - clock.now())))
}

interface PeersOptions {
  readonly clock: Clock
  /** Told which incarnation answered. */
  readonly directory: Directory
  readonly connections: number
  /** Longest head of an answer, in bytes. */
  readonly headerBytes: number
}
