import type { Answer, Body, Call, Outcome } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { Clock } from '../clock/index.js'
import { AnswerRecorder, replayAnswer } from '../ledger/index.js'
import type { Ledger, TicketClaim } from '../ledger/index.js'
import { done, mayHaveRun, notRun, unreachable } from '../verdict/index.js'
import type { NotRunCause } from '../verdict/index.js'

/** Requests a ticket from another live target of the service; undefined when none was issued within `withinMs`. */
export type TicketFetcher = (service: string, withinMs: number) => Promise<string | undefined>

/** Admits a call and runs it on the upstream, or refuses it. */
export type CallExecutor = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** Runs calls that carry a ticket, each at most once. */
export class TicketedCalls {
  private readonly options: TicketedCallsOptions

  private constructor (options: TicketedCallsOptions) {
    this.options = options
  }

  static create (options: TicketedCallsOptions): TicketedCalls {
    return new TicketedCalls(options)
  }

  /** Runs the call, or responds from the ledger's record of its ticket. May wait for another call with the same ticket. */
  async run (ticket: string, call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const request = `${call.method} ${call.path}`
    for (;;) {
      const redemption = this.options.ledger.redeem(ticket, request, call.profile.tickets)
      switch (redemption.kind) {
        case 'claimed': return await this.runClaimed(redemption.claim, call, body, answer)
        case 'recorded':
          replayAnswer(redemption.answer, answer)
          return { verdict: done, status: redemption.answer.status }
        case 'refused': return { verdict: notRun(redemption.cause), successor: redemption.successor }
        case 'invalid': return { verdict: notRun(redemption.cause) }
        case 'spent':
        case 'foreign': return { verdict: mayHaveRun('ticket-lost') }
        case 'running':
          if (redemption.settled === undefined) return { verdict: mayHaveRun('ticket-running') }
          if (!await this.waitUntilSettled(redemption.settled, call)) return { verdict: mayHaveRun('ticket-running') }
          break
        default: unreachable(redemption)
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
      case 'not-run': return await this.refuseClaim(claim, call, outcome, outcome.verdict.cause)
    }
  }

  /** Records the successor before it is returned, so that concurrent attempts with the ticket all receive the same one. */
  private async refuseClaim (claim: TicketClaim, call: Call, outcome: Outcome, cause: NotRunCause): Promise<Outcome> {
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
    const remainingMs = call.deadline - this.options.clock.now()
    return remainingMs > 0 ? await this.options.fetchTicket(call.service, remainingMs) : undefined
  }

  /** False when the call's deadline passes or its caller disconnects first. */
  private async waitUntilSettled (settled: Promise<void>, call: Call): Promise<boolean> {
    const stopped = Cancellation.create()
    const stop = (): void => { stopped.abort() }
    const remainingMs = call.deadline - this.options.clock.now()
    call.signal.addEventListener('abort', stop, { once: true })
    if (call.signal.aborted) stopped.abort()
    const expired = this.options.clock.sleep(remainingMs, stopped).then(() => false)
    const result = await Promise.race([settled.then(() => true), expired])
    call.signal.removeEventListener('abort', stop)
    stopped.abort()
    return result
  }
}

/** Whether another target may be able to run a call that was refused for this cause. */
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

/** Dependencies of `TicketedCalls`. */
export interface TicketedCallsOptions {
  readonly clock: Clock
  readonly ledger: Ledger
  readonly execute: CallExecutor
  readonly fetchTicket: TicketFetcher
}
