import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { Slots } from '../admission/index.js'
import type { AdmissionDecision, SlotRequest } from '../admission/index.js'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyMemory, ExchangeResult } from '../exchange/index.js'
import type { AnswerHead, Protocol } from '../forwarding/types.js'
import { FailureRate, usableSlotShare } from '../targets/index.js'
import type { Directory, TargetReport, TargetState } from '../targets/index.js'
import { connectTimeoutMs, defaultSlots, initialWorkShare, maxLoadAgeMs, freshDurationMs, maxConnections, maxNonIdempotentIdleMs, rejectedRetryAfterMs, unhealthyFailureShare } from './constants.js'
import { SpeedEstimate } from './speed-estimate.js'
import { mayHaveRun, notRun } from './types.js'
import type { Job, Outcome } from './types.js'
import { WorkEstimate } from './work-estimate.js'

/** Statuses by which an answer promises that the request did not run. */
const notRunStatuses = new Set([408, 421, 429, 503])

/** The target on this VM: its slots, what is known of it, and the only way to it. */
export class OwnTarget {
  readonly slots: Slots
  private readonly options: OwnTargetOptions
  private readonly connections: ConnectionPool
  private readonly failures = FailureRate.create()
  private readonly workEstimate = WorkEstimate.create()
  private readonly speedEstimate = SpeedEstimate.create()
  private instanceId = ''
  private reachable = false
  private healthy = true
  private slowness = 1
  private reportedSlots: number | undefined
  private freshUntil = -Infinity
  private loadReceivedAt = -Infinity
  private closing = false

  private constructor (options: OwnTargetOptions) {
    this.options = options
    this.slots = Slots.create({ clock: options.clock })
    this.connections = ConnectionPool.create({ address: options.address, limit: maxConnections, clock: options.clock, memory: options.memory })
  }

  static create (options: OwnTargetOptions): OwnTarget {
    return new OwnTarget(options)
  }

  /** Id of the target's present lifetime; empty before it is known. */
  get id (): string {
    return this.instanceId
  }

  /** Milliseconds since the target told its load. */
  get loadAgeMs (): number {
    return this.options.clock.now() - this.loadReceivedAt
  }

  /** Whether nothing answers at its address. */
  get unreachable (): boolean {
    return !this.reachable
  }

  /** What the other nodes are told. */
  describe (): TargetReport {
    const { service, failureDomain, clock } = this.options
    const { running, waiting, limit } = this.slots
    const now = clock.now()
    const failures = Math.min(1, this.failures.read(now) + (this.healthy ? 0 : unhealthyFailureShare))
    return { id: this.instanceId, service, failureDomain, state: this.state(), fresh: this.isFresh(now), running, waiting, limit, slowness: this.slowness, failures }
  }

  /** Runs a request, or says that it did not run. */
  async run (job: Job, target: string, signal: CancelSignal): Promise<Outcome> {
    if (this.loadAgeMs > maxLoadAgeMs) await this.options.loadMonitor.refresh()
    const obstacle = signal.aborted ? notRun('left') : this.findNotRunOutcome(target)
    if (obstacle !== undefined) return obstacle
    const applicant = this.createSlotRequest(job)
    const application = this.slots.acquire(applicant)
    if (this.slots.waiting > 0) this.options.loadMonitor.useShortInterval()
    this.options.onChange()
    signal.addEventListener('abort', application.cancel, { once: true })
    const admittance = await application.decision
    signal.removeEventListener('abort', application.cancel)
    if (admittance.kind === 'refused') {
      this.logRefusal(job, admittance)
      return notRun(admittance.cause, admittance.retryAfterMs)
    }
    this.options.metrics.record('call_queue_seconds', admittance.waitedMs)
    const outcome = this.findNotRunOutcome(target) ?? await this.send(job, target, signal)
    this.slots.release(applicant)
    return outcome
  }

  /** A health check was answered. */
  recordHealthCheck (healthy: boolean, head: AnswerHead): void {
    this.healthy = healthy
    this.markReachable()
    this.updateFromAnswer(head)
  }

  /** Nothing answers at the target's address. */
  markDown (): void {
    if (!this.reachable) return
    this.reachable = false
    this.options.logger.warn('target-down', { id: this.instanceId })
    this.options.onChange()
  }

  /** Lets no new work in; what runs goes on. */
  close (): void {
    this.closing = true
    this.slots.close()
    this.options.onChange()
  }

  disconnect (): void {
    this.connections.close()
  }

  private state (): TargetState {
    if (this.closing || this.options.directory.isLeaving(this.instanceId)) return 'closing'
    return this.reachable && this.instanceId !== '' ? 'up' : 'down'
  }

  /** The list can't show it yet: it has started under this node's eyes, or in the place of a listed one. */
  private isFresh (now: number): boolean {
    const { directory, address } = this.options
    if (this.instanceId === '' || directory.isListedAsReady(this.instanceId)) return false
    const listed = directory.findListedAt(address)
    return now < this.freshUntil || (listed !== undefined && listed.id !== this.instanceId)
  }

  private markReachable (): void {
    if (this.reachable) return
    this.reachable = true
    this.freshUntil = this.options.clock.now() + freshDurationMs
    this.options.logger.info('target-up', { id: this.instanceId })
  }

  private updateFromAnswer (head: AnswerHead): void {
    const { clock, logger, onChange } = this.options
    if (head.targetId !== '' && head.targetId !== this.instanceId) {
      logger.info('target-changed', { from: this.instanceId, to: head.targetId })
      if (this.instanceId !== '') this.freshUntil = clock.now() + freshDurationMs
      this.instanceId = head.targetId
    }
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

  private findNotRunOutcome (target: string): Outcome | undefined {
    if (target !== this.instanceId) return notRun('moved')
    switch (this.state()) {
      case 'closing': return notRun('closed')
      case 'down': return notRun('unreachable')
      case 'up': return undefined
    }
  }

  private createSlotRequest (job: Job): SlotRequest {
    const { priority, objectiveAt: wantedBy, deadlineAt: endsAt, objectiveMs, patient } = job
    return { priority, objectiveAt: wantedBy, deadlineAt: endsAt, mayWait: patient, workMs: this.workEstimate.read(job.route, objectiveMs * initialWorkShare) }
  }

  private async send (job: Job, target: string, signal: CancelSignal): Promise<Outcome> {
    const { clock, protocol } = this.options
    const startedAt = clock.now()
    const { slowness } = this
    const timeoutMs = job.deadlineAt - startedAt
    if (timeoutMs <= 0) return notRun('expired')
    if (!job.idempotent) this.connections.closeIdleLongerThan(maxNonIdempotentIdleMs)
    const reply = await exchange({
      connections: this.connections,
      clock,
      method: job.method,
      path: job.path,
      headers: protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target }),
      body: job.body,
      connectMs: connectTimeoutMs,
      timeoutMs,
      // What must not be repeated runs to its end, whoever waits for it.
      signal: job.idempotent ? signal : undefined,
      matchesRequest: (status, headers) => {
        const head = protocol.readAnswer(status, headers)
        return head.notRun || head.id === job.id
      }
    })
    const outcome = this.evaluateReply(reply)
    if (outcome.kind === 'answer') this.workEstimate.record(job.route, clock.now() - startedAt, slowness)
    this.failures.record(clock.now(), isTargetFailure(outcome))
    return outcome
  }

  private logRefusal (job: Job, { cause, retryAfterMs }: Extract<AdmissionDecision, { kind: 'refused' }>): void {
    const { running, waiting, limit } = this.slots
    const leftMs = Math.round(job.deadlineAt - this.options.clock.now())
    const loadMsAgo = Math.round(this.loadAgeMs)
    this.options.logger.info('refused', { request: job.id, cause, retryAfterMs, leftMs, running, waiting, limit, slowness: this.slowness, loadMsAgo, target: this.instanceId })
  }

  private evaluateReply (reply: ExchangeResult): Outcome {
    if (reply.kind === 'unsent') {
      if (reply.cause === 'connect-failed') this.markDown()
      return reply.cause === 'left' ? notRun('left') : notRun('unreachable')
    }
    if (reply.kind === 'lost') {
      // The others may have fallen silent with this one.
      if (reply.cause === 'timeout') this.connections.closeIdle()
      return mayHaveRun(reply.cause)
    }
    const { status, headers, body } = reply
    const head = this.options.protocol.readAnswer(status, headers)
    this.updateFromAnswer(head)
    if (head.notRun) return notRun('rejected', rejectedRetryAfterMs)
    if (head.encoded || (status < 300 && !head.sealed)) return mayHaveRun('invalid')
    if (notRunStatuses.has(status)) return mayHaveRun('unproven')
    return { kind: 'answer', status, headers, body }
  }
}

function isTargetFailure (outcome: Outcome): boolean {
  switch (outcome.kind) {
    case 'answer': return outcome.status >= 500
    case 'not-run': return outcome.cause === 'rejected'
    case 'may-have-run': return outcome.cause !== 'left'
  }
}

/** Keeps the target's load up to date. */
export interface LoadMonitor {
  /** Asks for it now; resolves when it is known, or after a moment without an answer. */
  refresh (): Promise<void>
  /** A request waits for the target: its load is to be known often. */
  useShortInterval (): void
}

interface OwnTargetOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly service: string
  readonly failureDomain: string
  readonly clock: Clock
  /** Bounds its answers, with all others. */
  readonly memory: BodyMemory
  readonly logger: Logger
  readonly metrics: Metrics
  readonly protocol: Protocol
  readonly directory: Directory
  readonly loadMonitor: LoadMonitor
  /** Called when something changed that the other nodes may want to know. */
  readonly onChange: () => void
}
