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

/** Runs calls on the upstream beside this node, as far as admission allows. */
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

  /** Runs one call, or refuses it; the outcome carries the load of this moment. */
  async execute (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const outcome = call.ticket === undefined
      ? await this.admitAndRun(call, call, body, answer)
      : await this.ticketed.run(call.ticket, call, body, answer)
    return { ...outcome, load: this.admission.load, incarnation: this.incarnation }
  }

  /** A ticket for a call that this target alone may run; undefined while it takes no new work. */
  issueTicket (): string | undefined {
    return this.admission.load.state === 'serving' ? this.ledger.issue() : undefined
  }

  isBelowShare (share: number): boolean {
    return this.admission.isBelow(share)
  }

  get load (): Load {
    return this.admission.load
  }

  dump (): unknown {
    return { tickets: this.ledger.dump() }
  }

  /** Once admitted, the call goes on when its caller leaves, so that a later sending finds its answer. */
  private async executeDetached (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    return await this.admitAndRun(call, { ...call, signal: Cancellation.create() }, body, answer)
  }

  private async admitAndRun (asked: Call, admitted: Call, body: Body, answer: Answer): Promise<Outcome> {
    const admittance = await (this.quarantine?.admit(asked, body, this.admission) ?? this.admission.admit(asked))
    if (admittance.kind === 'refused') return { verdict: admittance.verdict ?? notRun(admittance.cause) }
    const start = this.clock.now()
    const outcome = await this.run(admitted, body, answer).catch(() => ({ verdict: mayHaveRun('connection-lost') }))
    admittance.release(outcome.verdict, this.clock.now() - start)
    return outcome
  }
}

export interface TargetOptions {
  /** Name of the target, which its tickets carry. */
  readonly id?: string
  readonly incarnation: string
  readonly clock: Clock
  readonly admission: Admission
  readonly run: UpstreamRunner
  /** Watches for requests that crash the upstream. */
  readonly quarantine?: Quarantine
  readonly ledger?: Ledger
  readonly fetchTicket?: TicketFetcher
}
