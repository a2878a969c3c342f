import type { Admission } from '../admission/index.js'
import type { Answer, Body, Call, Load, Outcome } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { Clock } from '../clock/index.js'
import { Ledger } from '../ledger/index.js'
import type { Quarantine } from '../quarantine/index.js'
import { mayHaveRun, notRun } from '../verdict/index.js'
import { TicketedCalls } from './ticketed-calls.js'
import type { TicketFetcher } from './ticketed-calls.js'

/** Sends an admitted call to the upstream. */
export type UpstreamRunner = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** Runs calls on the upstream of this VM within the limits of its admission. */
export class Target {
  readonly incarnation: string
  private readonly clock: Clock
  private readonly admission: Admission
  private readonly run: UpstreamRunner
  private readonly quarantine: Quarantine | undefined
  private readonly ledger: Ledger
  private readonly ticketed: TicketedCalls

  private constructor (options: TargetOptions) {
    this.incarnation = options.incarnation
    this.clock = options.clock
    this.admission = options.admission
    this.quarantine = options.quarantine
    this.run = options.quarantine?.monitor(options.run) ?? options.run
    this.ledger = options.ledger ?? Ledger.create({ member: options.id ?? '', incarnation: options.incarnation, clock: options.clock })
    this.ticketed = TicketedCalls.create({
      clock: options.clock,
      ledger: this.ledger,
      execute: async (call, body, answer) => await this.executeDetached(call, body, answer),
      fetchTicket: options.fetchTicket ?? (async () => undefined)
    })
  }

  static create (options: TargetOptions): Target {
    return new Target(options)
  }

  /** Runs one call, or refuses it. The outcome carries the load at that time and the incarnation. */
  async execute (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const outcome = call.ticket === undefined
      ? await this.admitAndRun(call, call, body, answer)
      : await this.ticketed.run(call.ticket, call, body, answer)
    return { ...outcome, load: this.admission.load, incarnation: this.incarnation }
  }

  /** Issues a ticket for a call that only this target may run; undefined unless the target is serving. */
  issueTicket (): string | undefined {
    return this.admission.load.state === 'serving' ? this.ledger.issue() : undefined
  }

  /** Whether a call would start without waiting, with less than `share` of the admission limit in use. */
  isLoadBelow (share: number): boolean {
    return this.admission.isLoadBelow(share)
  }

  get load (): Load {
    return this.admission.load
  }

  dump (): unknown {
    return { tickets: this.ledger.dump() }
  }

  /** Once admitted, the call continues when its caller disconnects, so that a later attempt finds the recorded answer. */
  private async executeDetached (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    return await this.admitAndRun(call, { ...call, signal: Cancellation.create() }, body, answer)
  }

  /** Admission observes the signal of `admissionCall`; the upstream observes that of `upstreamCall`. */
  private async admitAndRun (admissionCall: Call, upstreamCall: Call, body: Body, answer: Answer): Promise<Outcome> {
    const decision = await (this.quarantine?.admit(admissionCall, body, this.admission) ?? this.admission.admit(admissionCall))
    if (decision.kind === 'refused') return { verdict: decision.verdict ?? notRun(decision.cause) }
    const startedAt = this.clock.now()
    const outcome = await this.run(upstreamCall, body, answer).catch(() => ({ verdict: mayHaveRun('connection-lost') }))
    decision.release(outcome.verdict, this.clock.now() - startedAt)
    return outcome
  }
}

/** Identity and dependencies of a target. */
export interface TargetOptions {
  /** Name of the target, which is part of its tickets. */
  readonly id?: string
  readonly incarnation: string
  readonly clock: Clock
  readonly admission: Admission
  readonly run: UpstreamRunner
  /** Detects requests that crash the upstream. */
  readonly quarantine?: Quarantine
  readonly ledger?: Ledger
  readonly fetchTicket?: TicketFetcher
}
