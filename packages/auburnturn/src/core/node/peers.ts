import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { Exchange } from '../http/index.js'
import type { Directory, Member } from '../membership/index.js'

/** Kept-alive connections to the nodes beside other targets. */
export class Peers {
  private readonly exchanges = new Map<string, Exchange>()
  private readonly clock: Clock
  private readonly directory: Directory
  private readonly connections: number

  private constructor (clock: Clock, directory: Directory, connections: number) {
    this.clock = clock
    this.directory = directory
    this.connections = connections
  }

  /** At most `connections` to one target. */
  static create ({ clock, directory, connections }: { clock: Clock, directory: Directory, connections: number }): Peers {
    return new Peers(clock, directory, connections)
  }

  /** One attempt at a call through the node beside `member`. */
  readonly attempt = async (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> => {
    const outcome = await this.send(call, member, body, answer)
    if (outcome.incarnation !== undefined) this.directory.observe(member, outcome.incarnation)
    return outcome
  }

  private async send (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const timeoutMs = Math.max(1, Math.floor(call.deadline - this.clock.now()))
    return await this.exchangeOf(member, call.profile.timeouts.connectMs).send(call, body, answer, [
      headerNames.service, call.service,
      headerNames.timeout, String(timeoutMs),
      headerNames.attempt, String(call.attempt + 1),
      headerNames.depth, String(call.depth - 1),
      headerNames.idempotent, call.idempotent ? 'yes' : 'no'
    ])
  }

  async close (): Promise<void> {
    await Promise.all([...this.exchanges.values()].map(async exchange => { await exchange.close() }))
  }

  dump (): unknown {
    return { addresses: [...this.exchanges.keys()] }
  }

  private exchangeOf (member: Member, connectMs: number): Exchange {
    const origin = `http://${member.ip}:${member.peerPort}`
    const known = this.exchanges.get(origin)
    if (known !== undefined) return known
    const fresh = Exchange.create({ origin, connections: this.connections, connectMs, clock: this.clock })
    this.exchanges.set(origin, fresh)
    return fresh
  }
}
