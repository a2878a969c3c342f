import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import { Slots } from '../admission/index.js'
import type { Admittance, Applicant } from '../admission/index.js'
import { Connections, exchange } from '../exchange/index.js'
import type { BodyMemory, Reply } from '../exchange/index.js'
import type { AnswerHead, Protocol } from '../forwarding/types.js'
import { FailureShare, usableShare } from '../targets/index.js'
import type { Directory, TargetReport, TargetState } from '../targets/index.js'
import { connectMs, firstSlots, firstWorkShare, freshLoadMs, freshMs, maxConnections, maxIdleMs, rejectedRetryMs, unhealthyFailures } from './constants.js'
import { PaceKeeper } from './pace.js'
import { mayHaveRun, notRun } from './types.js'
import type { Job, Outcome } from './types.js'
import { WorkEstimate } from './work-estimate.js'

/** Statuses by which an answer promises that the request did not run. */
const promises = new Set([408, 421, 429, 503])

/** The target on this VM: its slots, what is known of it, and the only way to it. */
export class OwnTarget {
  readonly slots: Slots
  private readonly options: OwnTargetOptions
  private readonly connections: Connections
  private readonly failures = FailureShare.create()
  private readonly work = WorkEstimate.create()
  private readonly pace = PaceKeeper.create()
  private knownId = ''
  private reachable = false
  private healthy = true
  private slowness = 1
  private slotCount: number | undefined
  private freshUntil = -Infinity
  private loadAt = -Infinity
  private closing = false

  private constructor (options: OwnTargetOptions) {
    this.options = options
    this.slots = Slots.create({ clock: options.clock })
    this.connections = Connections.create({ address: options.address, limit: maxConnections, clock: options.clock, memory: options.memory })
  }

  static create (options: OwnTargetOptions): OwnTarget {
    return new OwnTarget(options)
  }

  /** Id of the target's present lifetime; empty before it is known. */
  get id (): string {
    return this.knownId
  }

  /** Milliseconds since the target told its load. */
  get loadAgeMs (): number {
    return this.options.clock.now() - this.loadAt
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
    const failures = Math.min(1, this.failures.read(now) + (this.healthy ? 0 : unhealthyFailures))
    return { id: this.knownId, service, failureDomain, state: this.state(), fresh: this.isFresh(now), running, waiting, limit, slowness: this.slowness, failures }
  }

  /** Runs a request, or says that it did not run. */
  async run (job: Job, target: string, signal: CancelSignal): Promise<Outcome> {
    if (this.loadAgeMs > freshLoadMs) await this.options.loadWatch.refresh()
    const obstacle = signal.aborted ? notRun('left') : this.findObstacle(target)
    if (obstacle !== undefined) return obstacle
    const applicant = this.describeApplicant(job)
    const application = this.slots.apply(applicant)
    if (this.slots.waiting > 0) this.options.loadWatch.hurry()
    this.options.onChange()
    signal.addEventListener('abort', application.leave, { once: true })
    const admittance = await application.admittance
    signal.removeEventListener('abort', application.leave)
    if (admittance.kind === 'refused') {
      this.logRefusal(job, admittance)
      return notRun(admittance.cause, admittance.retryAfterMs)
    }
    this.options.metrics.recordDuration('call_queue_seconds', admittance.waitedMs)
    const outcome = this.findObstacle(target) ?? await this.send(job, target, signal)
    this.slots.release(applicant)
    return outcome
  }

  /** A health check was answered. */
  markChecked (healthy: boolean, head: AnswerHead): void {
    this.healthy = healthy
    this.markReachable()
    this.learn(head)
  }

  /** Nothing answers at the target's address. */
  markDown (): void {
    if (!this.reachable) return
    this.reachable = false
    this.options.logger.warn('target-down', { id: this.knownId })
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
    if (this.closing || this.options.directory.isLeaving(this.knownId)) return 'closing'
    return this.reachable && this.knownId !== '' ? 'up' : 'down'
  }

  /** The list can't show it yet: it has started under this node's eyes, or in the place of a listed one. */
  private isFresh (now: number): boolean {
    const { directory, address } = this.options
    if (this.knownId === '' || directory.isListed(this.knownId)) return false
    const listed = directory.findAt(address)
    return now < this.freshUntil || (listed !== undefined && listed.id !== this.knownId)
  }

  private markReachable (): void {
    if (this.reachable) return
    this.reachable = true
    this.freshUntil = this.options.clock.now() + freshMs
    this.options.logger.info('target-up', { id: this.knownId })
  }

  private learn (head: AnswerHead): void {
    const { clock, logger, onChange } = this.options
    if (head.instance !== '' && head.instance !== this.knownId) {
      logger.info('target-changed', { from: this.knownId, to: head.instance })
      if (this.knownId !== '') this.freshUntil = clock.now() + freshMs
      this.knownId = head.instance
    }
    if (head.load !== undefined) {
      this.loadAt = clock.now()
      this.slotCount = head.load.slots
      this.slowness = head.load.slowness ?? 1
    }
    const slots = this.slotCount ?? this.options.directory.findAt(this.options.address)?.slots ?? firstSlots
    const now = clock.now()
    this.pace.update(now, this.slowness)
    this.slots.resize(Math.floor(slots * usableShare), this.pace.read(now))
    onChange()
  }

  private findObstacle (target: string): Outcome | undefined {
    if (target !== this.knownId) return notRun('moved')
    switch (this.state()) {
      case 'closing': return notRun('closed')
      case 'down': return notRun('unreachable')
      case 'up': return undefined
    }
  }

  private describeApplicant (job: Job): Applicant {
    const { priority, wantedBy, endsAt, objectiveMs, patient } = job
    return { priority, wantedBy, endsAt, patient, workMs: this.work.read(job.route, objectiveMs * firstWorkShare) }
  }

  private async send (job: Job, target: string, signal: CancelSignal): Promise<Outcome> {
    const { clock, protocol } = this.options
    const startedAt = clock.now()
    const { slowness } = this
    const timeoutMs = job.endsAt - startedAt
    if (timeoutMs <= 0) return notRun('expired')
    if (!job.idempotent) this.connections.dropIdleFor(maxIdleMs)
    const reply = await exchange({
      connections: this.connections,
      clock,
      method: job.method,
      path: job.path,
      headers: protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target }),
      body: job.body,
      connectMs,
      timeoutMs,
      // What must not be repeated runs to its end, whoever waits for it.
      signal: job.idempotent ? signal : undefined,
      accept: (status, headers) => {
        const head = protocol.readAnswer(status, headers)
        return head.notRun || head.id === job.id
      }
    })
    const outcome = this.judge(reply)
    if (outcome.kind === 'answer') this.work.record(job.route, clock.now() - startedAt, slowness)
    this.failures.record(clock.now(), isTargetFailure(outcome))
    return outcome
  }

  private logRefusal (job: Job, { cause, retryAfterMs }: Extract<Admittance, { kind: 'refused' }>): void {
    const { running, waiting, limit } = this.slots
    const leftMs = Math.round(job.endsAt - this.options.clock.now())
    const loadMsAgo = Math.round(this.loadAgeMs)
    this.options.logger.info('refused', { request: job.id, cause, retryAfterMs, leftMs, running, waiting, limit, slowness: this.slowness, loadMsAgo, target: this.knownId })
  }

  private judge (reply: Reply): Outcome {
    if (reply.kind === 'unsent') {
      if (reply.cause === 'connect-failed') this.markDown()
      return reply.cause === 'left' ? notRun('left') : notRun('unreachable')
    }
    if (reply.kind === 'lost') {
      // The others may have fallen silent with this one.
      if (reply.cause === 'timeout') this.connections.dropIdle()
      return mayHaveRun(reply.cause)
    }
    const { status, headers, body } = reply
    const head = this.options.protocol.readAnswer(status, headers)
    this.learn(head)
    if (head.notRun) return notRun('rejected', rejectedRetryMs)
    if (head.encoded || (status < 300 && !head.sealed)) return mayHaveRun('invalid')
    if (promises.has(status)) return mayHaveRun('unproven')
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
export interface LoadWatch {
  /** Asks for it now; resolves when it is known, or after a moment without an answer. */
  refresh (): Promise<void>
  /** A request waits for the target: its load is to be known often. */
  hurry (): void
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
  readonly loadWatch: LoadWatch
  /** Called when something changed that the other nodes may want to know. */
  readonly onChange: () => void
}
