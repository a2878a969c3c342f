import type { Answer, Body, Call, Outcome } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { Clock } from '../clock/index.js'
import { AnswerRecorder, replayAnswer } from '../ledger/index.js'
import type { TicketClaim, Ledger } from '../ledger/index.js'
import { done, mayHaveRun, notRun, unreachable } from '../verdict/index.js'
import type { NotRunCause } from '../verdict/index.js'

/** Asks another live target of the service for a ticket; undefined when none can be had in `withinMs`. */
export type FetchTicket = (service: string, withinMs: number) => Promise<string | undefined>

/** Admits a call and runs it on the upstream. */
export type Execute = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** Runs calls that carry a ticket, each at most once. */
export class TicketedCalls {
  private readonly options: TicketedCallsOptions

  private constructor (options: TicketedCallsOptions) {
    this.options = options
  }

  static create (options: TicketedCallsOptions): TicketedCalls {
    return new TicketedCalls(options)
  }

  /** Runs the call, or answers from what the ledger knows of its ticket. */
  async run (ticket: string, call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const request = `${call.method} ${call.path}`
    for (;;) {
      const presented = this.options.ledger.redeem(ticket, request, call.profile.tickets)
      switch (presented.kind) {
        case 'claimed': return await this.runClaimed(presented.claim, call, body, answer)
        case 'recorded':
          replayAnswer(presented.answer, answer)
          return { verdict: done, status: presented.answer.status }
        case 'refused': return { verdict: notRun(presented.cause), successor: presented.successor }
        case 'invalid': return { verdict: notRun(presented.cause) }
        case 'spent':
        case 'foreign': return { verdict: mayHaveRun('ticket-lost') }
        case 'running':
          if (presented.settled === undefined) return { verdict: mayHaveRun('ticket-running') }
          if (!await this.settlesInTime(presented.settled, call)) return { verdict: mayHaveRun('ticket-running') }
          break
        default: unreachable(presented)
      }
    }
  }

  private async runClaimed (claim: TicketClaim, call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const recorder = AnswerRecorder.create(answer, call.profile.tickets.answerBytes)
    const outcome = await this.options.execute(call, body, recorder).catch(() => ({ verdict: mayHaveRun('connection-lost') }))
    switch (outcome.verdict.kind) {
      case 'done':
        claim.complete(recorder.recorded)
        return outcome
      case 'may-have-run':
        claim.complete(undefined)
        return outcome
      case 'not-run': return await this.refuse(claim, call, outcome, outcome.verdict.cause)
    }
  }

  /** The successor is recorded before anyone hears of it, so that concurrent sendings can't fork. */
  private async refuse (claim: TicketClaim, call: Call, outcome: Outcome, cause: NotRunCause): Promise<Outcome> {
    const successor = await this.findSuccessor(call, cause).catch(() => undefined)
    if (successor === undefined) {
      claim.release()
      return outcome
    }
    claim.refuse(cause, successor)
    return { ...outcome, successor }
  }

  private async findSuccessor (call: Call, cause: NotRunCause): Promise<string | undefined> {
    if (call.successorWanted !== true || !mayRunElsewhere(cause)) return undefined
    const remaining = call.deadline - this.options.clock.now()
    return remaining > 0 ? await this.options.fetchTicket(call.service, remaining) : undefined
  }

  private async settlesInTime (settled: Promise<void>, call: Call): Promise<boolean> {
    const ended = Cancellation.create()
    const leave = (): void => { ended.abort() }
    const remaining = call.deadline - this.options.clock.now()
    call.signal.addEventListener('abort', leave, { once: true })
    if (call.signal.aborted) ended.abort()
    const expired = this.options.clock.sleep(remaining, ended).then(() => false)
    const result = await Promise.race([settled.then(() => true), expired])
    call.signal.removeEventListener('abort', leave)
    ended.abort()
    return result
  }
}

/** Whether another target could take a call that was refused for this cause. */
function mayRunElsewhere (cause: NotRunCause): boolean {
  switch (cause) {
    case 'admission-closed':
    case 'overloaded':
    case 'queue-timeout':
    case 'connect-failed':
    case 'connection-unavailable':
    case 'no-target':
      return true
    case 'deadline-expired':
    case 'quarantined':
    case 'unknown-service':
    case 'bad-request':
    case 'ticket-refused':
    case 'caller-gone':
    case 'caller-idle':
    case 'body-too-large':
      return false
  }
}

export interface TicketedCallsOptions {
  readonly clock: Clock
  readonly ledger: Ledger
  readonly execute: Execute
  readonly fetchTicket: FetchTicket
}
