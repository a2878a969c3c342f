import { Code, ConnectError } from '@connectrpc/connect'
import { headerNames } from '../call/index.js'
import type { Answer, Call, Outcome } from '../call/types.js'
import { Tickets } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import type { Target } from '../target/index.js'
import { done, notRun } from '../verdict/index.js'

/** Path below a service at which callers request a ticket. */
export const ticketPath = '/.well-known/auburnturn/ticket'

/** Timeout for a ticket request to one target, in milliseconds. */
const issueTimeoutMs = 250

/** Maximum number of targets that are requested to issue one ticket. */
const maxTargetsTried = 3

/** Issues tickets of the target on this VM to other nodes, and fetches tickets from theirs. */
export class TicketService {
  private readonly options: TicketServiceOptions

  private constructor (options: TicketServiceOptions) {
    this.options = options
  }

  static create (options: TicketServiceOptions): TicketService {
    return new TicketService(options)
  }

  /** Handlers for the control server that issue tickets of `target`. */
  routes (target: Target): Routes {
    const { service: ownService } = this.options
    return router => {
      router.service(Tickets, {
        issue: ({ service }) => {
          const ticket = service === ownService ? target.issueTicket() : undefined
          if (ticket === undefined) throw new ConnectError('takes no new work of this service', Code.FailedPrecondition)
          return { ticket }
        }
      })
    }
  }

  /** Fetches a ticket from another live target, starting at a random one. Waits at most `withinMs` for each target. */
  async fetchFromOtherTarget (service: string, withinMs: number): Promise<string | undefined> {
    const { directory, random, id } = this.options
    const others = directory.liveMembers(service).filter(member => member.id !== id)
    const firstIndex = others.length === 0 ? 0 : random.integerBelow(others.length)
    for (let attempt = 0; attempt < Math.min(others.length, maxTargetsTried); attempt++) {
      const member = others[(firstIndex + attempt) % others.length] as Member
      const ticket = await this.fetchFromMember(member, Math.min(issueTimeoutMs, withinMs))
      if (ticket !== undefined) return ticket
    }
    return undefined
  }

  /** Answers a caller's request for a ticket; `chooseMember` selects a target that was not tried yet. */
  async answerTicketRequest (call: Call, answer: Answer, target: Target, chooseMember: (tried: ReadonlySet<string>) => Member | undefined): Promise<Outcome> {
    const triedIds = new Set<string>()
    for (let attempt = 0; attempt < maxTargetsTried; attempt++) {
      const member = chooseMember(triedIds)
      if (member === undefined) break
      triedIds.add(member.id)
      const ticket = member.id === this.options.id ? target.issueTicket() : await this.fetchFromMember(member, issueTimeoutMs)
      if (ticket === undefined) continue
      writeTicketAnswer(ticket, answer)
      return { verdict: done, status: 200 }
    }
    return { verdict: notRun('no-target') }
  }

  /** Fetches a ticket from the node of `member`; undefined when it issues none or does not answer. */
  private async fetchFromMember (member: Member, timeoutMs: number): Promise<string | undefined> {
    try {
      const client = this.options.controlClients.getClient(Tickets, member)
      const { ticket } = await client.issue({ service: member.service }, { timeoutMs: Math.max(1, Math.ceil(timeoutMs)) })
      return ticket === '' ? undefined : ticket
    } catch {
      return undefined
    }
  }
}

/** Whether a call requests a ticket; such a call is answered by the node and not passed to the service. */
export function isTicketRequest (call: Call): boolean {
  return call.method === 'POST' && call.path === ticketPath
}

function writeTicketAnswer (ticket: string, answer: Answer): void {
  const body = Buffer.from(JSON.stringify({ ticket }))
  answer.writeHead(200, 'OK', [
    'content-type', 'application/json',
    'content-length', String(body.length),
    'cache-control', 'no-store',
    headerNames.ticket, ticket
  ])
  answer.writeData(body)?.catch(() => {})
  answer.end([])
}

/** Identity of the target on this VM, and dependencies of the service. */
export interface TicketServiceOptions {
  /** Id of the target on this VM. */
  readonly id: string
  /** Service of the target on this VM. */
  readonly service: string
  readonly directory: Directory
  readonly random: Random
  readonly controlClients: ControlClients
}
