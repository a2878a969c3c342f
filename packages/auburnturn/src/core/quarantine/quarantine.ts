import type { Admission, AdmissionDecision } from '../admission/index.js'
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

/** Calls that were lost at about the same time. They become suspects once a crash of the upstream is confirmed. */
interface Incident {
  readonly startedAt: number
  /** Calls in flight on the upstream when the first one was lost. */
  readonly inFlightAtStart: number
  /** Calls lost, including those without a fingerprint. */
  lostCount: number
  readonly lostCalls: LostCall[]
  confirmed: boolean
}

/**
 * Detects requests that crash the upstream on this VM. Every request in flight at a crash becomes a suspect and
 * runs alone from then on. A suspect that crashes the upstream while it runs alone is refused after the number of
 * crashes set in the profile; one that completes while it runs alone is cleared.
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

  /** Whether this node has any suspect request, recorded here or received in a notice. */
  get hasSuspects (): boolean {
    return this.suspects.hasSuspects
  }

  /** Decides how to handle a call. Computes no fingerprint while there are no suspects. */
  async decideTreatment (call: Call, body: Body): Promise<Treatment> {
    if (!this.hasSuspects) return { kind: 'usual' }
    const fingerprint = await computeFingerprint(call, body)
    if (fingerprint === undefined) return { kind: 'usual' }
    return { kind: this.suspects.classify(fingerprint, call.profile.quarantine.crashes), fingerprint } as Treatment
  }

  /** Requests a slot from `admission` according to the treatment of the call. */
  async admit (call: Call, body: Body, admission: Admission): Promise<AdmissionDecision> {
    const treatment = await this.decideTreatment(call, body)
    if (treatment.kind === 'alone') return await admission.admitAlone(call)
    if (treatment.kind === 'usual') return await admission.admit(call)
    return { kind: 'refused', cause: 'quarantined', verdict: this.refuse(call) }
  }

  /** The verdict on a refused call. This attempt did not run, but an earlier attempt at a non-idempotent call may have. */
  refuse (call: Call): Verdict {
    this.refusals++
    return call.idempotent ? notRun('quarantined') : mayHaveRun('upstream-crashed')
  }

  /** Wraps the function that runs calls on the upstream and records the outcome of each call. */
  monitor (run: UpstreamRunner): UpstreamRunner {
    return async (call, body, answer) => {
      this.inFlight++
      const alone = this.inFlight === 1
      const hadSuspects = this.hasSuspects
      const outcome = await run(call, body, answer).catch(error => {
        this.inFlight--
        throw error
      })
      const inFlightAtEnd = this.inFlight--
      if (isConnectionLost(outcome)) await this.recordLostCall(call, body, alone, inFlightAtEnd)
      else if (outcome.verdict.kind === 'not-run' && outcome.verdict.cause === 'connect-failed') this.confirmCrash()
      else if (outcome.verdict.kind === 'done') this.dismissIncident()
      if (hadSuspects && outcome.verdict.kind === 'done') await this.clearSuspect(call, body)
      return outcome
    }
  }

  /** Clears a suspect that completed here or on another node. */
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

  private async recordLostCall (call: Call, body: Body, alone: boolean, inFlight: number): Promise<void> {
    const incident = this.getCurrentIncident(inFlight)
    incident.lostCount++
    const fingerprint = await computeFingerprint(call, body)
    if (fingerprint === undefined || incident.lostCalls.length >= maxSuspectsPerCrash) return
    const lostCall = { call, fingerprint, ranAlone: alone && incident.inFlightAtStart === 1 }
    incident.lostCalls.push(lostCall)
    if (incident.confirmed) this.addSuspect(lostCall, false)
    else if (this.provesCrash(incident, lostCall)) this.confirmCrash()
  }

  /**
   * A crash is proved when no call is left in flight and either at least `minLossesForCrash` concurrent calls were
   * all lost, or a suspect was lost while it ran alone.
   */
  private provesCrash ({ lostCount, inFlightAtStart }: Incident, { call, fingerprint, ranAlone }: LostCall): boolean {
    if (this.inFlight > 0) return false
    if (inFlightAtStart >= minLossesForCrash && lostCount >= inFlightAtStart) return true
    return ranAlone && this.suspects.classify(fingerprint, call.profile.quarantine.crashes) !== 'usual'
  }

  /** Discards an unconfirmed incident: an upstream that responds has not crashed, so only single connections were lost. */
  private dismissIncident (): void {
    if (this.incident !== undefined && !this.incident.confirmed) this.incident = undefined
  }

  private getCurrentIncident (inFlight: number): Incident {
    const now = this.clock.now()
    if (this.incident === undefined || now - this.incident.startedAt > incidentWindowMs) this.incident = { startedAt: now, inFlightAtStart: inFlight, lostCount: 0, lostCalls: [], confirmed: false }
    return this.incident
  }

  /** Records the latest incident as a crash of the upstream, unless it is already confirmed or too old. */
  private confirmCrash (): void {
    const { incident } = this
    if (incident === undefined || incident.confirmed || this.clock.now() - incident.startedAt > crashConfirmationMs) return
    incident.confirmed = true
    this.crashes++
    for (const lostCall of incident.lostCalls) this.addSuspect(lostCall, lostCall.ranAlone)
  }

  private addSuspect ({ call, fingerprint }: LostCall, ranAlone: boolean): void {
    const { expiryMs } = call.profile.quarantine
    if (ranAlone) this.suspects.addLoneCrash(fingerprint, expiryMs)
    else this.suspects.addSharedCrash(fingerprint, expiryMs)
  }
}

/** Whether the connection broke before an answer. An outcome with a status is an answer with the verdict of a lower layer. */
function isConnectionLost ({ verdict, status }: Outcome): boolean {
  return status === undefined && verdict.kind === 'may-have-run' && verdict.cause === 'connection-lost'
}
