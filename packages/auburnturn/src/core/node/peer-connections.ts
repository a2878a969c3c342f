import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { Exchange } from '../http/index.js'
import type { Directory, Member } from '../membership/index.js'

/** Connections to a node are closed after this time without a call, in milliseconds. */
const maxUnusedMs = 600_000

interface PeerConnection { readonly exchange: Exchange, lastUsedAt: number }

/** Persistent connections to the nodes of other targets, pooled by origin. */
export class PeerConnections {
  private readonly peersByOrigin = new Map<string, PeerConnection>()
  private readonly clock: Clock
  private readonly directory: Directory
  private readonly connections: number
  private readonly maxHeaderBytes: number

  private constructor ({ clock, directory, connections, maxHeaderBytes }: PeerConnectionsOptions) {
    this.clock = clock
    this.directory = directory
    this.connections = connections
    this.maxHeaderBytes = maxHeaderBytes
  }

  /** Opens at most `connections` connections to each target. */
  static create (options: PeerConnectionsOptions): PeerConnections {
    return new PeerConnections(options)
  }

  /** Sends one attempt of a call to the node of `member`, and records the incarnation that answered. */
  readonly attempt = async (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> => {
    const outcome = await this.getOrCreateExchange(member).send(call, body, answer, this.createHeaders(call))
    if (outcome.incarnation !== undefined) this.directory.recordAnswer(member, outcome.incarnation)
    return outcome
  }

  async close (): Promise<void> {
    await Promise.all([...this.peersByOrigin.values()].map(async ({ exchange }) => { await exchange.close() }))
  }

  dump (): unknown {
    return { nodes: [...this.peersByOrigin.values()].map(({ exchange }) => exchange.dump()) }
  }

  /** Internal headers that describe the call to the other node, in addition to the caller's headers. */
  private createHeaders (call: Call): RawHeaders {
    const headers = [
      headerNames.service, call.service,
      headerNames.callId, call.id,
      headerNames.caller, call.caller,
      headerNames.timeout, formatRemainingMs(call, this.clock),
      headerNames.attempt, String(call.attempt),
      headerNames.depth, String(call.depth - 1),
      headerNames.idempotent, call.idempotent ? 'yes' : 'no'
    ]
    if (call.ticket !== undefined) headers.push(headerNames.ticket, call.ticket)
    if (call.successorWanted === true) headers.push(headerNames.successor, 'wanted')
    return headers
  }

  private getOrCreateExchange (member: Member): Exchange {
    const origin = `http://${member.ip.includes(':') ? `[${member.ip}]` : member.ip}:${member.peerPort}`
    const now = this.clock.now()
    const existing = this.peersByOrigin.get(origin)
    if (existing !== undefined) {
      existing.lastUsedAt = now
      return existing.exchange
    }
    this.closeUnused(now)
    const exchange = Exchange.create({ origin, maxConnections: this.connections, clock: this.clock, isPeer: true, maxHeaderBytes: this.maxHeaderBytes })
    this.peersByOrigin.set(origin, { exchange, lastUsedAt: now })
    return exchange
  }

  /** Closes unused connections. Members change while the process runs, so connections to removed ones must not pile up. */
  private closeUnused (now: number): void {
    for (const [origin, { exchange, lastUsedAt }] of this.peersByOrigin) {
      if (now - lastUsedAt < maxUnusedMs || exchange.busy) continue
      this.peersByOrigin.delete(origin)
      exchange.close().catch(() => {})
    }
  }
}

/** Headers that report to the upstream the remaining time of a call, its depth and the number of earlier attempts. */
export function createUpstreamHeaders (call: Call, clock: Clock): RawHeaders {
  return [
    headerNames.timeout, formatRemainingMs(call, clock),
    headerNames.depth, String(call.depth),
    headerNames.attempt, String(call.attempt)
  ]
}

/** Remaining time in whole milliseconds, at least 1. */
function formatRemainingMs (call: Call, clock: Clock): string {
  return String(Math.max(1, Math.floor(call.deadline - clock.now())))
}

interface PeerConnectionsOptions {
  readonly clock: Clock
  /** Receives the incarnation that answered each attempt. */
  readonly directory: Directory
  /** Maximum number of connections to each target. */
  readonly connections: number
  /** Maximum size of the head of an answer, in bytes. */
  readonly maxHeaderBytes: number
}
