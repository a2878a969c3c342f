import type { Clock } from 'auburnturn/core/clock'
import { findTrialTarget, suspectRetryAfterMs } from '../quarantine/index.js'
import type { Quarantine, Treatment } from '../quarantine/index.js'
import { notRun } from '../requests/index.js'
import type { Outcome } from '../requests/index.js'
import type { Directory, TargetReport } from '../targets/index.js'

/** Decides whether requests under which targets have crashed may run at the target on this VM. */
export class SuspectGate {
  private readonly options: SuspectGateOptions

  private constructor (options: SuspectGateOptions) {
    this.options = options
  }

  static create (options: SuspectGateOptions): SuspectGate {
    return new SuspectGate(options)
  }

  /** Decides how a request may run; a suspect waits until other crashes of the same moment are known. */
  async decide (fingerprint: string): Promise<Treatment> {
    const { clock, quarantine } = this.options
    const treatment = quarantine.decide(fingerprint)
    if (treatment.kind !== 'alone' || treatment.waitMs <= 0) return treatment
    await clock.sleep(treatment.waitMs)
    return quarantine.decide(fingerprint)
  }

  /** The outcome of a request that may not run here; undefined if it may. */
  findOutcome (treatment: Treatment): Outcome | undefined {
    switch (treatment.kind) {
      case 'usual': return undefined
      case 'alone': return this.isTrialTarget() ? undefined : notRun('suspect', suspectRetryAfterMs)
      case 'refused': return notRun('quarantined', treatment.retryAfterMs)
    }
  }

  /** The same for a request that has waited; one that has become a suspect meanwhile runs only if the target is `exclusive` to it. */
  findChangedOutcome (fingerprint: string, exclusive: boolean): Outcome | undefined {
    const treatment = this.options.quarantine.decide(fingerprint)
    return treatment.kind === 'alone' && !exclusive ? notRun('suspect', suspectRetryAfterMs) : this.findOutcome(treatment)
  }

  private isTrialTarget (): boolean {
    const { address, service, directory, describe } = this.options
    const own = { ...describe(), service }
    const others = directory.findCandidates(service, 'any').filter(({ ip }) => !address.startsWith(`${ip}:`))
    return findTrialTarget([...others, own])?.id === own.id
  }
}

interface SuspectGateOptions {
  /** `IP:PORT` of the target. */
  readonly address: string
  readonly service: string
  readonly clock: Clock
  readonly directory: Directory
  readonly quarantine: Quarantine
  /** Returns the present incarnation of the target and its state. */
  readonly describe: () => Pick<TargetReport, 'id' | 'state'>
}
