import type { Answer, Attempt, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import { parseTicket } from '../ledger/index.js'
import type { Ticket } from '../ledger/index.js'
import type { Member } from '../membership/index.js'
import { mayHaveRun, notRun } from '../verdict/index.js'

/** Maximum number of tickets that one send tries: the ticket of the call and the successors of refused ones. */
const maxTicketHops = 16

/** Functions of the router that are used to route a ticketed call. */
export interface TicketedContext {
  readonly listMembers: (service: string) => readonly Member[]
  readonly attempt: Attempt
}

/** State of one send of a ticketed call, over all its attempts. */
interface TicketedSend {
  readonly call: Call
  attemptsLeft: number
  /** An earlier attempt of this send may have run, so that a later refusal does not prove "not run". */
  mayHaveRunEarlier: boolean
}

/**
 * Sends a ticketed call to the one target that its ticket names. When the target refuses the ticket and records the
 * refusal, the call is sent again with the successor ticket. "Not run" is returned only if the target itself reports it,
 * in the incarnation that the ticket names.
 */
export async function runTicketed (call: Call, ticket: string, body: Body, answer: Answer, context: TicketedContext): Promise<Outcome> {
  const send: TicketedSend = { call, attemptsLeft: call.profile.retry.attempts, mayHaveRunEarlier: false }
  let current = ticket
  for (let hop = 0; hop < maxTicketHops; hop++) {
    const parsed = parseTicket(current)
    if (parsed === undefined) return { verdict: notRun('bad-request') }
    const outcome = await attemptOnce(send, current, parsed, body, answer, context)
    const next = findNextTicket(send, current, outcome, body, answer)
    if (next === undefined) {
      const resolved = resolveOutcome(send, parsed, outcome)
      return current === ticket ? resolved : { ...resolved, successor: current }
    }
    current = next
  }
  return { verdict: mayHaveRun('ticket-lost'), successor: current }
}

async function attemptOnce (send: TicketedSend, ticket: string, { member }: Ticket, body: Body, answer: Answer, context: TicketedContext): Promise<Outcome> {
  const { call } = send
  const target = context.listMembers(call.service).find(entry => entry.id === member)
  if (target === undefined) return { verdict: mayHaveRun('ticket-lost') }
  send.attemptsLeft--
  const successorWanted = send.attemptsLeft > 0 && isReplayable(call)
  return await context.attempt({ ...call, ticket, successorWanted }, target, body, answer)
}

/** The ticket of the next attempt; undefined when no further attempt follows. */
function findNextTicket (send: TicketedSend, ticket: string, outcome: Outcome, body: Body, answer: Answer): string | undefined {
  const { verdict, successor } = outcome
  if (answer.started || !body.replayable || send.call.signal.aborted) return undefined
  switch (verdict.kind) {
    case 'done': return undefined
    case 'not-run': return successor
    case 'may-have-run':
      if (verdict.cause !== 'connection-lost') return undefined
      send.mayHaveRunEarlier = true
      return send.attemptsLeft > 0 ? ticket : undefined
  }
}

/** Keeps "not run" only if the ticket's own incarnation reported it and no earlier attempt may have run. */
function resolveOutcome (send: TicketedSend, ticket: Ticket, outcome: Outcome): Outcome {
  const { verdict, incarnation, successor } = outcome
  if (verdict.kind !== 'not-run') return outcome
  const isProven = incarnation === ticket.incarnation && successor === undefined
  return isProven && !send.mayHaveRunEarlier ? outcome : { ...outcome, verdict: mayHaveRun('ticket-lost') }
}

/** Whether the request head indicates that the body is small enough to be retained for another attempt. */
function isReplayable ({ headers, method, profile }: Call): boolean {
  const length = findContentLength(headers)
  if (length === undefined) return method === 'GET' || method === 'HEAD'
  return length <= profile.body.replayBytes
}

function findContentLength (headers: RawHeaders): number | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === 'content-length') return Number(headers[index + 1])
  }
  return undefined
}
