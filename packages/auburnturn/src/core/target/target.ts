import type { Admission } from '../admission/index.js'
import type { Answer, Body, Call, Load, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Quarantine } from '../quarantine/index.js'
import { mayHaveRun, notRun } from '../verdict/index.js'

/** Sends an admitted call to the upstream. */
export type Run = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

/** Runs calls on the upstream beside this node, as far as admission allows. */
export class Target {
  readonly incarnation: string
  private readonly clock: Clock
  private readonly admission: Admission
  private readonly run: Run
  private readonly quarantine: Quarantine | undefined

  private constructor (options: TargetOptions) {
    this.incarnation = options.incarnation
    this.clock = options.clock
    this.admission = options.admission
    this.quarantine = options.quarantine
    this.run = options.quarantine?.watch(options.run) ?? options.run
  }

  static create (options: TargetOptions): Target {
    return new Target(options)
  }

  /** Admits and runs one call; the outcome carries the load of this moment. */
  async execute (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const admittance = await (this.quarantine?.admit(call, body, this.admission) ?? this.admission.admit(call))
    if (admittance.kind === 'refused') return this.stamp({ verdict: admittance.verdict ?? notRun(admittance.cause) })
    const start = this.clock.now()
    const outcome = await this.run(call, body, answer).catch(() => ({ verdict: mayHaveRun('connection-lost') }))
    admittance.release(outcome.verdict, this.clock.now() - start)
    return this.stamp(outcome)
  }

  isBelow (share: number): boolean {
    return this.admission.isBelow(share)
  }

  get load (): Load {
    return this.admission.load
  }

  private stamp (outcome: Outcome): Outcome {
    return { ...outcome, load: this.admission.load, incarnation: this.incarnation }
  }
}

interface TargetOptions {
  readonly incarnation: string
  readonly clock: Clock
  readonly admission: Admission
  readonly run: Run
  /** Watches for requests that crash the upstream. */
  readonly quarantine?: Quarantine
}
