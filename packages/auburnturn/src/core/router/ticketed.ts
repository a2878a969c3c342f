import type { Answer, Attempt, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import { parseTicket } from '../ledger/index.js'
import type { Ticket } from '../ledger/index.js'
import type { Member } from '../membership/index.js'
import { mayHaveRun, notRun } from '../verdict/index.js'

/** Refused tickets that are followed to their successors within one sending. */
const maxTicketHops = 16

/** What routing a ticketed call needs of the router. */
export interface TicketedContext {
  readonly members: (service: string) => readonly Member[]
  readonly attempt: Attempt
}

interface TicketedSend {
  readonly call: Call
  attemptsLeft: number
  /** An attempt of this sending may have run, so that no later refusal may say "not run". */
  mayHaveRunEarlier: boolean
}

/**
 * Sends a ticketed call to the one target that its ticket names, and follows recorded
 * refusals to their successors. Only that target's own word can say "not run".
 */
export async function runTicketed (call: Call, ticket: string, body: Body, answer: Answer, route: TicketedContext): Promise<Outcome> {
  const sending: TicketedSend = { call, attemptsLeft: call.profile.retry.attempts, mayHaveRunEarlier: false }
  let current = ticket
  for (let hop = 0; hop < maxTicketHops; hop++) {
    const parsed = parseTicket(current)
    if (parsed === undefined) return { verdict: notRun('bad-request') }
    const outcome = await attemptOnce(sending, current, parsed, body, answer, route)
    const next = findNextTicket(sending, current, outcome, body, answer)
    if (next === undefined) {
      const concluded = finishOutcome(sending, parsed, outcome)
      return current === ticket ? concluded : { ...concluded, successor: current }
    }
    current = next
  }
  return { verdict: mayHaveRun('ticket-lost'), successor: current }
}

async function attemptOnce (sending: TicketedSend, ticket: string, { member }: Ticket, body: Body, answer: Answer, route: TicketedContext): Promise<Outcome> {
  const { call } = sending
  const target = route.members(call.service).find(candidate => candidate.id === member)
  if (target === undefined) return { verdict: mayHaveRun('ticket-lost') }
  sending.attemptsLeft--
  const successorWanted = sending.attemptsLeft > 0 && isReplayable(call)
  return await route.attempt({ ...call, ticket, successorWanted }, target, body, answer)
}

/** The ticket of the next attempt; undefined when the sending ends here. */
function findNextTicket (sending: TicketedSend, ticket: string, outcome: Outcome, body: Body, answer: Answer): string | undefined {
  const { verdict, successor } = outcome
  if (answer.started || !body.replayable || sending.call.signal.aborted) return undefined
  switch (verdict.kind) {
    case 'done': return undefined
    case 'not-run': return successor
    case 'may-have-run':
      if (verdict.cause !== 'connection-lost') return undefined
      sending.mayHaveRunEarlier = true
      return sending.attemptsLeft > 0 ? ticket : undefined
  }
}

function finishOutcome (sending: TicketedSend, ticket: Ticket, outcome: Outcome): Outcome {
  const { verdict, incarnation, successor } = outcome
  if (verdict.kind !== 'not-run') return outcome
  const isProven = incarnation === ticket.incarnation && successor === undefined
  return isProven && !sending.mayHaveRunEarlier ? outcome : { ...outcome, verdict: mayHaveRun('ticket-lost') }
}

/** Whether the body will still be held for another attempt, as far as its head tells. */
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
