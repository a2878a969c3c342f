import type { Admission, Admittance } from '../admission/index.js'
import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Notices } from '../notices/index.js'
import { mayHaveRun, notRun } from '../verdict/index.js'
import type { Verdict } from '../verdict/index.js'
import { crashConfirmationMs, incidentWindowMs, maxSuspectsPerCrash, minLossesForCrash } from './constants.js'
import { computeFingerprint } from './fingerprint.js'
import { SuspectList } from './suspect-list.js'
import type { Treatment } from './types.js'

type UpstreamRunner = (call: Call, body: Body, answer: Answer) => Promise<Outcome>

interface LostCall { readonly call: Call, readonly fingerprint: string, readonly ranAlone: boolean }

/** Calls that were lost together, until it is known whether the upstream crashed. */
interface Incident {
  readonly startedAt: number
  /** Calls on the upstream when the first was lost. */
  readonly inFlightAtStart: number
  /** Calls lost, those that can't be told apart included. */
  lostCount: number
  readonly lostCalls: LostCall[]
  confirmed: boolean
}

/**
 * Finds requests that crash the upstream beside this node. What was in flight at a crash is suspect and
 * runs alone from then on; one that crashes the upstream alone is refused after the profile's count;
 * one that runs to its end alone is cleared.
 */
export class Quarantine {
  private readonly clock: Clock
  private readonly suspects: SuspectList
  private inFlight = 0
  private incident: Incident | undefined
  private crashes = 0
  private refusals = 0

  private constructor (clock: Clock, notices: Notices) {
    this.clock = clock
    this.suspects = SuspectList.create(clock, notices)
  }

  static create ({ clock, notices }: { clock: Clock, notices: Notices }): Quarantine {
    return new Quarantine(clock, notices)
  }

  /** Whether any request is suspect on any node that told this one. */
  get hasSuspects (): boolean {
    return this.suspects.hasSuspects
  }

  /** How a call is to be treated; costs nothing while no request is suspect anywhere. */
  async decideTreatment (call: Call, body: Body): Promise<Treatment> {
    if (!this.hasSuspects) return { kind: 'usual' }
    const fingerprint = await computeFingerprint(call, body)
    if (fingerprint === undefined) return { kind: 'usual' }
    return { kind: this.suspects.classify(fingerprint, call.profile.quarantine.crashes), fingerprint } as Treatment
  }

  /** Asks `admission` for a slot, as the treatment of the call demands. */
  async admit (call: Call, body: Body, admission: Admission): Promise<Admittance> {
    const treatment = await this.decideTreatment(call, body)
    if (treatment.kind === 'alone') return await admission.admitAlone(call)
    if (treatment.kind === 'usual') return await admission.admit(call)
    return { kind: 'refused', cause: 'quarantined', verdict: this.refuse(call) }
  }

  /** The verdict on a refused call: this sending did not run, but of one that must not repeat an earlier one may have. */
  refuse (call: Call): Verdict {
    this.refusals++
    return call.idempotent ? notRun('quarantined') : mayHaveRun('upstream-crashed')
  }

  /** Wraps what runs calls on the upstream, and watches what becomes of them. */
  monitor (run: UpstreamRunner): UpstreamRunner {
    return async (call, body, answer) => {
      this.inFlight++
      const alone = this.inFlight === 1
      const suspect = this.hasSuspects
      const outcome = await run(call, body, answer).catch(error => {
        this.inFlight--
        throw error
      })
      const running = this.inFlight--
      if (isConnectionLost(outcome)) await this.recordLostCall(call, body, alone, running)
      else if (outcome.verdict.kind === 'not-run' && outcome.verdict.cause === 'connect-failed') this.confirmCrash()
      else if (outcome.verdict.kind === 'done') this.dismissIncident()
      if (suspect && outcome.verdict.kind === 'done') await this.clearSuspect(call, body)
      return outcome
    }
  }

  /** Notes that a suspect ran to its end here or elsewhere. */
  async clearSuspect (call: Call, body: Body): Promise<void> {
    const treatment = await this.decideTreatment(call, body)
    if (treatment.kind === 'alone') this.suspects.clear(treatment.fingerprint)
  }

  async close (): Promise<void> {
    this.suspects.close()
  }

  dump (): unknown {
    return { crashes: this.crashes, refusals: this.refusals, ...this.suspects.dump() }
  }

  private async recordLostCall (call: Call, body: Body, alone: boolean, running: number): Promise<void> {
    const incident = this.getCurrentIncident(running)
    incident.lostCount++
    const fingerprint = await computeFingerprint(call, body)
    if (fingerprint === undefined || incident.lostCalls.length >= maxSuspectsPerCrash) return
    const lost = { call, fingerprint, ranAlone: alone && incident.inFlightAtStart === 1 }
    incident.lostCalls.push(lost)
    if (incident.confirmed) this.addSuspect(lost, false)
    else if (this.provesCrash(incident, lost)) this.confirmCrash()
  }

  /** Several calls that ran at once and were all lost, or a suspect lost while it ran alone. */
  private provesCrash ({ lostCount: count, inFlightAtStart: inFlight }: Incident, { call, fingerprint, ranAlone: alone }: LostCall): boolean {
    if (this.inFlight > 0) return false
    if (inFlight >= minLossesForCrash && count >= inFlight) return true
    return alone && this.suspects.classify(fingerprint, call.profile.quarantine.crashes) !== 'usual'
  }

  /** An upstream that answers has not crashed: single connections were lost. */
  private dismissIncident (): void {
    if (this.incident !== undefined && !this.incident.confirmed) this.incident = undefined
  }

  private getCurrentIncident (running: number): Incident {
    const now = this.clock.now()
    if (this.incident === undefined || now - this.incident.startedAt > incidentWindowMs) this.incident = { startedAt: now, inFlightAtStart: running, lostCount: 0, lostCalls: [], confirmed: false }
    return this.incident
  }

  /** Takes the last incident for a crash of the upstream. */
  private confirmCrash (): void {
    const { incident } = this
    if (incident === undefined || incident.confirmed || this.clock.now() - incident.startedAt > crashConfirmationMs) return
    incident.confirmed = true
    this.crashes++
    for (const lost of incident.lostCalls) this.addSuspect(lost, lost.ranAlone)
  }

  private addSuspect ({ call, fingerprint }: LostCall, alone: boolean): void {
    const { expiryMs } = call.profile.quarantine
    if (alone) this.suspects.addLoneCrash(fingerprint, expiryMs)
    else this.suspects.addSharedCrash(fingerprint, expiryMs)
  }
}

/** Whether the connection broke before an answer; one that carries the verdict of a layer below has a status. */
function isConnectionLost ({ verdict, status }: Outcome): boolean {
  return status === undefined && verdict.kind === 'may-have-run' && verdict.cause === 'connection-lost'
}
