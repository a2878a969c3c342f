import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { Slots } from '../admission/index.js'
import type { AdmissionDecision, SlotRequest } from '../admission/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { Exchange } from '../exchange/index.js'
import { computeFingerprint } from '../quarantine/index.js'
import type { Quarantine, RunningRequest } from '../quarantine/index.js'
import type { RateLimit } from '../rate-limit/index.js'
import { notRun } from '../requests/index.js'
import type { AnswerHead, Job, Outcome, Protocol } from '../requests/index.js'
import { FailureRate, usableSlotShare } from '../targets/index.js'
import type { Directory, TargetReport, TargetState } from '../targets/index.js'
import { isTargetFailure } from './classify-answer.js'
import { defaultSlots, freshDurationMs, initialWorkShare, maxLoadAgeMs, unhealthyFailureShare } from './constants.js'
import { CrashMonitor } from './crash-monitor.js'
import { Demands } from './demands.js'
import { SpeedEstimate } from './speed-estimate.js'
import { SuspectGate } from './suspect-gate.js'
import { TargetSender } from './target-sender.js'
import { WorkEstimate } from './work-estimate.js'

/** The target on this VM: its slots and its state. All requests to it go through this class. */
export class OwnTarget {
  readonly slots: Slots
  private readonly demands: Demands
  private readonly options: OwnTargetOptions
  private readonly sender: TargetSender
  private readonly failures = FailureRate.create()
  private readonly workEstimate = WorkEstimate.create()
  private readonly speedEstimate = SpeedEstimate.create()
  private readonly crashMonitor: CrashMonitor
  private readonly suspectGate: SuspectGate
  private instanceId = ''
  private reachable = false
  /** Whether the target has been out of reach since this process started. */
  private hasBeenDown = false
  private healthy = true
  private slowness = 1
  private reportedSlots: number | undefined
  private freshUntil = -Infinity
  private loadReceivedAt = -Infinity
  private closing = false

  private constructor (options: OwnTargetOptions) {
    this.options = options
    const { clock, logger, metrics } = options
    this.demands = Demands.create({ clock, logger, metrics, onDraining: () => { this.slots.refuseQueued('closed') } })
    this.slots = Slots.create({ clock, rateLimit: this.demands.rateLimit })
    this.crashMonitor = CrashMonitor.create({ ...options, readTarget: () => this.instanceId, isStopping: () => this.getState() === 'closing', onRefused: () => { this.recordRefusedConnection() } })
    this.sender = TargetSender.create({
      ...options,
      crashMonitor: this.crashMonitor,
      onRefused: () => { this.recordRefusedConnection() },
      onAnswer: head => { this.updateFromAnswer(head) },
      estimateRetryAfterMs: () => this.slots.estimateRetryAfterMs()
    })
    this.suspectGate = SuspectGate.create({ ...options, describe: () => ({ id: this.instanceId, state: this.getState() }) })
  }

  static create (options: OwnTargetOptions): OwnTarget {
    return new OwnTarget(options)
  }

  /** Id of the target's present incarnation; empty before the first answer. */
  get id (): string {
    return this.instanceId
  }

  /** The limit that the target names in its answers. */
  get rateLimit (): RateLimit {
    return this.demands.rateLimit
  }

  /** Milliseconds since the target last reported its load. */
  get loadAgeMs (): number {
    return this.options.clock.now() - this.loadReceivedAt
  }

  /** Whether the target does not answer at its address. */
  get unreachable (): boolean {
    return !this.reachable
  }

  /** The state of the target that is reported to other nodes. */
  describe (): TargetReport {
    const { service, failureDomain, clock } = this.options
    const { taken: running, waiting, limit } = this.slots
    const now = clock.now()
    const failures = Math.min(1, this.failures.read(now) + (this.healthy ? 0 : unhealthyFailureShare))
    const { perSecond: rateLimit, allowance } = this.rateLimit
    return { id: this.instanceId, service, failureDomain, state: this.getState(), fresh: this.isFresh(now), running, waiting, limit, slowness: this.slowness, failures, rateLimit, rateAllowance: allowance - waiting }
  }

  /**
   * Runs a request on the target once a slot is free.
   * @param target id of the incarnation that the request is meant for; another one does not run it
   */
  async run (job: Job, target: string, signal: CancelSignal): Promise<Outcome> {
    if (this.loadAgeMs > maxLoadAgeMs) await this.options.loadMonitor.refresh()
    const fingerprint = computeFingerprint(job)
    const treatment = await this.suspectGate.decide(fingerprint)
    const immediateOutcome = signal.aborted ? notRun('left') : this.findNotRunOutcome(target) ?? this.suspectGate.findOutcome(treatment)
    if (immediateOutcome !== undefined) return immediateOutcome
    const request = this.createSlotRequest(job)
    const exclusive = treatment.kind === 'alone'
    const acquisition = exclusive ? this.slots.acquireAlone(request) : this.slots.acquire(request)
    if (this.slots.waitsForTarget) this.options.loadMonitor.useShortInterval()
    if (acquisition.waitsForRate) this.demands.recordEffect('queued', target)
    this.options.onChange()
    signal.addEventListener('abort', acquisition.cancel, { once: true })
    const decision = await acquisition.decision
    signal.removeEventListener('abort', acquisition.cancel)
    if (decision.kind === 'refused') {
      if (decision.cause === 'rate-limited') this.demands.recordEffect(job.mayWait ? 'refused' : 'redirected', target)
      this.logRefusal(job, decision)
      return notRun(decision.cause, decision.retryAfterMs)
    }
    this.options.metrics.recordDuration('call_queue_seconds', decision.waitedMs)
    try {
      await this.options.pendingInput.readIfOld()
      if (signal.aborted) return notRun('left')
      return this.findNotRunOutcome(target) ?? this.suspectGate.findChangedOutcome(fingerprint, exclusive) ?? await this.send(job, target, { fingerprint, exclusive }, signal)
    } finally {
      this.slots.release(request)
    }
  }

  /** Records the answer to a health check. */
  recordHealthCheck (healthy: boolean, head: AnswerHead): void {
    this.healthy = healthy
    this.markReachable()
    this.updateFromAnswer(head)
  }

  /** Records that the target refuses connections. */
  recordRefusedConnection (): void {
    this.crashMonitor.recordRefusedConnection()
    this.markUnreachable()
  }

  /** Records that the target does not answer at its address. */
  markUnreachable (): void {
    this.hasBeenDown = true
    if (!this.reachable) return
    this.reachable = false
    this.options.logger.warn('target-down', { id: this.instanceId })
    this.options.onChange()
  }

  /** Refuses new and queued requests; running requests continue. */
  close (): void {
    this.closing = true
    this.slots.close()
    this.options.onChange()
  }

  /** Closes the connections to the target. */
  disconnect (): void {
    this.sender.close()
  }

  private getState (): TargetState {
    if (this.closing || this.demands.draining || this.options.directory.isLeaving(this.instanceId)) return 'closing'
    return this.reachable && this.instanceId !== '' ? 'up' : 'down'
  }

  /**
   * Whether the target may be too new for the list: this node has just detected its start, or another target is listed at its address.
   */
  private isFresh (now: number): boolean {
    const { directory, address } = this.options
    if (this.instanceId === '' || directory.isListedAsReady(this.instanceId)) return false
    const listed = directory.findListedAt(address)
    return now < this.freshUntil || (listed !== undefined && listed.id !== this.instanceId)
  }

  private markReachable (): void {
    if (this.reachable) return
    this.reachable = true
    this.demands.forgetDraining()
    // One that answers the first check may have started long ago, and have left the list since.
    if (this.hasBeenDown) this.freshUntil = this.options.clock.now() + freshDurationMs
    this.options.logger.info('target-up', { id: this.instanceId })
  }

  /** Updates the incarnation, the load and the demands of the target from the head of an answer. */
  private updateFromAnswer (head: AnswerHead): void {
    const { clock, logger, onChange } = this.options
    if (head.targetId !== '' && head.targetId !== this.instanceId) {
      logger.info('target-changed', { from: this.instanceId, to: head.targetId })
      this.crashMonitor.recordNewIncarnation()
      if (this.instanceId !== '') this.freshUntil = clock.now() + freshDurationMs
      this.instanceId = head.targetId
      this.demands.forgetDraining()
    }
    this.crashMonitor.recordAnswer()
    this.demands.update(head, this.instanceId)
    if (head.load !== undefined) {
      this.loadReceivedAt = clock.now()
      this.reportedSlots = head.load.slots
      this.slowness = head.load.slowness ?? 1
    }
    const slots = this.reportedSlots ?? this.options.directory.findListedAt(this.options.address)?.slots ?? defaultSlots
    const now = clock.now()
    this.speedEstimate.update(now, this.slowness)
    this.slots.setCapacity(Math.floor(slots * usableSlotShare), this.speedEstimate.read(now))
    onChange()
  }

  /** The outcome of a request that can't run in the present state of the target; undefined if it can. */
  private findNotRunOutcome (target: string): Outcome | undefined {
    if (target !== this.instanceId) return notRun('moved')
    switch (this.getState()) {
      case 'closing': return notRun('closed')
      case 'down': return notRun('unreachable')
      case 'up': return undefined
    }
  }

  private createSlotRequest (job: Job): SlotRequest {
    const { priority, objectiveAt, deadlineAt, objectiveMs, mayWait } = job
    return { priority, objectiveAt, deadlineAt, mayWait, workMs: this.workEstimate.read(job.route, objectiveMs * initialWorkShare) }
  }

  private async send (job: Job, target: string, running: RunningRequest, signal: CancelSignal): Promise<Outcome> {
    const { clock, quarantine } = this.options
    const startedAt = clock.now()
    const { slowness } = this
    const outcome = await this.sender.send(job, target, running, signal)
    if (outcome.kind === 'answer') {
      quarantine.recordAnswer(running.fingerprint)
      this.workEstimate.record(job.route, clock.now() - startedAt, slowness)
    }
    if (outcome.kind !== 'not-run' || outcome.cause !== 'expired') this.failures.record(clock.now(), isTargetFailure(outcome))
    return outcome
  }

  private logRefusal (job: Job, { cause, retryAfterMs }: Extract<AdmissionDecision, { kind: 'refused' }>): void {
    const { running, waiting, limit } = this.slots
    const remainingMs = Math.round(job.deadlineAt - this.options.clock.now())
    const loadAgeMs = Math.round(this.loadAgeMs)
    this.options.logger.info('refused', { request: job.id, cause, retryAfterMs, leftMs: remainingMs, running, waiting, limit, slowness: this.slowness, rateLimit: this.rateLimit.perSecond, rateLimitAgeMs: Math.round(this.rateLimit.ageMs), loadMsAgo: loadAgeMs, target: this.instanceId })
  }
}

/** Keeps the reported load of the target up to date. */
export interface LoadMonitor {
  /** Requests the load now; resolves when it is reported, or after a short timeout without an answer. */
  refresh (): Promise<void>
  /** Checks the load at the short interval, because a request is queued for the target. */
  useShortInterval (): void
}

interface OwnTargetOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly service: string
  readonly failureDomain: string
  readonly clock: Clock
  /** Bounds the memory of the target's answers together with all other bodies. */
  readonly bodyLimits: BodyLimits
  readonly pendingInput: PendingInput
  readonly logger: Logger
  readonly metrics: Metrics
  readonly protocol: Protocol
  readonly directory: Directory
  readonly loadMonitor: LoadMonitor
  readonly quarantine: Quarantine
  /** Sends a request to the target; over HTTP by default. */
  readonly exchange?: Exchange
  /** Called when a change may have to be reported to the other nodes. */
  readonly onChange: () => void
}
