import { Code, ConnectError } from '@connectrpc/connect'
import { headerNames } from '../call/index.js'
import type { Answer, Call, Outcome } from '../call/types.js'
import { Tickets } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import type { Target } from '../target/index.js'
import { done, notRun } from '../verdict/index.js'

/** Path below a service at which callers ask for a ticket. */
export const ticketPath = '/.well-known/auburnturn/ticket'

/** Longest wait for one target to issue a ticket, in milliseconds. */
const issueTimeoutMs = 250

/** Targets asked for one ticket. */
const maxTargetsTried = 3

/** Issues this target's tickets to other nodes and fetches theirs. */
export class TicketService {
  private readonly options: TicketServiceOptions

  private constructor (options: TicketServiceOptions) {
    this.options = options
  }

  static create (options: TicketServiceOptions): TicketService {
    return new TicketService(options)
  }

  /** Control handlers for `target`. */
  routes (target: Target): Routes {
    const { service: own } = this.options
    return router => {
      router.service(Tickets, {
        issue: ({ service }) => {
          const ticket = service === own ? target.issueTicket() : undefined
          if (ticket === undefined) throw new ConnectError('takes no new work of this service', Code.FailedPrecondition)
          return { ticket }
        }
      })
    }
  }

  /** A ticket of another live target, the first asked being chosen at random. */
  async fetchFromOtherTarget (service: string, withinMs: number): Promise<string | undefined> {
    const { directory, random, id } = this.options
    const others = directory.liveMembers(service).filter(member => member.id !== id)
    const first = others.length === 0 ? 0 : random.below(others.length)
    for (let turn = 0; turn < Math.min(others.length, maxTargetsTried); turn++) {
      const member = others[(first + turn) % others.length] as Member
      const ticket = await this.fetchFromMember(member, Math.min(issueTimeoutMs, withinMs))
      if (ticket !== undefined) return ticket
    }
    return undefined
  }

  /** Answers a caller that asks for a ticket; `choose` picks among the targets not yet tried. */
  async answerTicketRequest (call: Call, answer: Answer, target: Target, choose: (tried: ReadonlySet<string>) => Member | undefined): Promise<Outcome> {
    const tried = new Set<string>()
    for (let turn = 0; turn < maxTargetsTried; turn++) {
      const member = choose(tried)
      if (member === undefined) break
      tried.add(member.id)
      const ticket = member.id === this.options.id ? target.issueTicket() : await this.fetchFromMember(member, issueTimeoutMs)
      if (ticket === undefined) continue
      writeTicketAnswer(ticket, answer)
      return { verdict: done, status: 200 }
    }
    return { verdict: notRun('no-target') }
  }

  private async fetchFromMember (member: Member, timeoutMs: number): Promise<string | undefined> {
    try {
      const client = this.options.controlClients.clientOf(Tickets, member)
      const { ticket } = await client.issue({ service: member.service }, { timeoutMs: Math.max(1, Math.ceil(timeoutMs)) })
      return ticket === '' ? undefined : ticket
    } catch {
      return undefined
    }
  }
}

/** Whether a caller's call asks for a ticket rather than for its service. */
export function isTicketRequest (call: Call): boolean {
  return call.method === 'POST' && call.path === ticketPath
}

function writeTicketAnswer (ticket: string, answer: Answer): void {
  const body = Buffer.from(JSON.stringify({ ticket }))
  answer.head(200, 'OK', [
    'content-type', 'application/json',
    'content-length', String(body.length),
    'cache-control', 'no-store',
    headerNames.ticket, ticket
  ])
  answer.data(body)?.catch(() => {})
  answer.end([])
}

export interface TicketServiceOptions {
  readonly id: string
  readonly service: string
  readonly directory: Directory
  readonly random: Random
  readonly controlClients: ControlClients
}
