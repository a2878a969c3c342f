import type { Clock } from '../clock/index.js'
import { maxWaiters } from './constants.js'
import { OutcomeCache } from './outcome-cache.js'
import type { TicketOutcome } from './outcome-cache.js'
import { TicketSigner } from './ticket-signer.js'
import { formatTicket, parseTicket } from './ticket.js'
import type { LedgerLimits, RedeemResult, Ticket, TicketClaim } from './types.js'
import { UsedSerials } from './used-serials.js'

interface RunningCall {
  readonly request: string
  readonly settled: Promise<void>
  readonly settle: () => void
  waiters: number
}

/**
 * Issues the tickets of one target and incarnation and records the outcome of each.
 * A serial stays marked as used after its cached outcome was evicted, so neither the time window nor the memory limit
 * can make a used ticket unused again.
 */
export class Ledger {
  private readonly member: string
  private readonly incarnation: string
  private readonly clock: Clock
  private readonly signer = TicketSigner.create()
  private readonly serials: UsedSerials
  private readonly running = new Map<number, RunningCall>()
  private readonly outcomes = OutcomeCache.create()

  private constructor ({ member, incarnation, clock, serials }: LedgerOptions) {
    this.member = member
    this.incarnation = incarnation
    this.clock = clock
    this.serials = serials ?? UsedSerials.create()
  }

  static create (options: LedgerOptions): Ledger {
    return new Ledger(options)
  }

  /** Issues a new ticket for one call. Stores only the next serial until the ticket is redeemed. */
  issue (): string {
    const { member, incarnation } = this
    const serial = this.serials.issue()
    return formatTicket({ member, incarnation, serial, mac: this.signer.sign(this.formatSignedText(serial)) })
  }

  /** Looks up the ticket `text` for `request` (method and path) and claims it if it is unused. */
  redeem (text: string, request: string, limits: LedgerLimits): RedeemResult {
    const ticket = parseTicket(text)
    if (ticket === undefined) return { kind: 'invalid', cause: 'bad-request' }
    if (ticket.member !== this.member || ticket.incarnation !== this.incarnation) return { kind: 'foreign' }
    if (!this.wasIssued(ticket)) return { kind: 'invalid', cause: 'ticket-refused' }
    this.outcomes.expire(this.clock.now())
    return this.findRunning(ticket.serial, request) ?? this.findOutcome(ticket.serial, request) ?? this.claim(ticket.serial, request, limits)
  }

  dump (): unknown {
    return { running: this.running.size, ended: this.outcomes.size, bytes: this.outcomes.bytes, floor: this.serials.floor }
  }

  private findRunning (serial: number, request: string): RedeemResult | undefined {
    const call = this.running.get(serial)
    if (call === undefined) return undefined
    if (call.request !== request) return { kind: 'invalid', cause: 'bad-request' }
    if (call.waiters >= maxWaiters) return { kind: 'running', settled: undefined }
    call.waiters++
    return { kind: 'running', settled: call.settled }
  }

  private findOutcome (serial: number, request: string): RedeemResult | undefined {
    const cached = this.outcomes.find(serial)
    if (cached === undefined) return undefined
    if (cached.request !== request) return { kind: 'invalid', cause: 'bad-request' }
    const { outcome } = cached
    switch (outcome.kind) {
      case 'done': return { kind: 'recorded', answer: outcome.answer }
      case 'refused': return { kind: 'refused', cause: outcome.cause, successor: outcome.successor }
    }
  }

  private claim (serial: number, request: string, limits: LedgerLimits): RedeemResult {
    if (this.serials.isUsed(serial)) return { kind: 'spent' }
    this.serials.set(serial, true)
    this.running.set(serial, createRunningCall(request))
    return { kind: 'claimed', claim: this.createClaim(serial, request, limits) }
  }

  private createClaim (serial: number, request: string, limits: LedgerLimits): TicketClaim {
    const end = (outcome: TicketOutcome | undefined): void => {
      const call = this.running.get(serial)
      if (call === undefined) throw new Error(`ticket with serial ${serial} was settled twice`)
      if (outcome !== undefined) this.outcomes.add(serial, request, outcome, this.clock.now(), limits)
      this.running.delete(serial)
      call.settle()
    }
    return {
      complete: answer => { end(answer === undefined ? undefined : { kind: 'done', answer }) },
      refuse: (cause, successor) => { end({ kind: 'refused', cause, successor }) },
      release: () => {
        this.serials.set(serial, false)
        end(undefined)
      }
    }
  }

  private wasIssued ({ serial, mac }: Ticket): boolean {
    return this.serials.wasIssued(serial) && this.signer.verify(this.formatSignedText(serial), mac)
  }

  private formatSignedText (serial: number): string {
    return `${this.member}.${this.incarnation}.${serial}`
  }
}

function createRunningCall (request: string): RunningCall {
  let settle = (): void => {}
  const settled = new Promise<void>(resolve => { settle = resolve })
  return { request, settled, settle, waiters: 0 }
}

/** Identity and dependencies of a ledger. */
export interface LedgerOptions {
  /** Name of the target that issues the tickets. */
  readonly member: string
  readonly incarnation: string
  readonly clock: Clock
  /** Defaults to a set that tracks the newest `maxTrackedSerials` serials; tests pass a smaller one. */
  readonly serials?: UsedSerials
}
