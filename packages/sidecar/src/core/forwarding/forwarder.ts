import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import type { Route } from '../configuration/index.js'
import { WorkEstimate } from '../own-target/index.js'
import type { OwnTarget } from '../own-target/index.js'
import { findTrialTarget } from '../quarantine/index.js'
import { computeRateWaitMs, MoveLog } from '../rate-limit/index.js'
import { describeEvidence, notRun } from '../requests/index.js'
import type { Job, Outcome } from '../requests/index.js'
import { RetryWindow } from '../retries/index.js'
import type { RetryBudget } from '../retries/index.js'
import { chooseTarget, estimateCost, findAvoidedTarget, slowFactor, widenAboveCost } from '../targets/index.js'
import type { Candidate, Directory, TargetChoice } from '../targets/index.js'
import { initialWorkShare, maxTargetAttempts, defaultRetryAfterMs } from './constants.js'
import { awaitHedgeTarget, createLinkedCancellation, awaitFirstSuccess, computeFirstCheckAt, shouldHedge } from './hedge.js'
import type { RequestSender } from './types.js'

/** State of one request across its attempts. */
interface Progress {
  /** Ids of the targets that must not be chosen again. */
  readonly tried: Set<string>
  /** Number of targets that the request may have reached. */
  reachedTargets: number
  /** Whether targets have crashed under the request: only the trial target of its service may run it. */
  suspect: boolean
  /** Outcome for the caller unless a later attempt yields a better one. */
  outcome: Outcome
}

/** Sends a request to a target, and to another one where a retry is safe, within the budget and still in time. */
export class Forwarder {
  private readonly options: ForwarderOptions
  private readonly retryWindows = new Map<string, RetryWindow>()
  private readonly workEstimate = WorkEstimate.create()
  private readonly moveLog: MoveLog

  private constructor (options: ForwarderOptions) {
    const { clock, logger, metrics } = options
    this.options = options
    this.moveLog = MoveLog.create({ clock, logger, metrics })
  }

  static create (options: ForwarderOptions): Forwarder {
    return new Forwarder(options)
  }

  /** Attempts a request until its outcome is final or no further attempt is allowed. Never rejects. */
  async run (job: Job, route: Route, signal: CancelSignal): Promise<Outcome> {
    const { clock, directory } = this.options
    const progress: Progress = { tried: new Set(), reachedTargets: 0, suspect: false, outcome: notRun('no-target', defaultRetryAfterMs) }
    this.getRetryWindow(job.service).countFirstAttempt(clock.now())
    for (let attempts = 0; attempts < maxTargetAttempts; attempts++) {
      const target = progress.suspect ? this.findTrialTarget(job.service, progress.tried) : this.chooseCandidate(job, progress.tried, 'attempt')
      if (target === undefined || !this.mayAttempt(job, route, progress)) break
      if (attempts > 0) this.options.metrics.count('retries_total')
      progress.tried.add(target.id)
      // The request may wait at a slow or limited target if even the best one is, and on the last attempt.
      const mayWait = target.slowness >= slowFactor || target.rateWaitMs > 0 || attempts === maxTargetAttempts - 1
      const outcome = await this.attemptWithHedge({ ...job, mayWait }, route, target, progress, signal)
      if (!mayWait && outcome.kind === 'not-run' && (outcome.cause === 'slow' || outcome.cause === 'rate-limited')) {
        progress.tried.delete(target.id)
        directory.markRefusing(target.id, outcome.cause)
        this.logFailure(outcome, job, target, attempts)
        continue
      }
      this.logFailure(outcome, job, target, attempts)
      if (this.isFinal(outcome, job, signal)) return mergeOutcomes(progress.outcome, outcome)
      recordOutcome(progress, outcome)
    }
    return progress.outcome
  }

  /** Chooses the target of an attempt, or one on which a request may be hedged. */
  private chooseCandidate (job: Job, tried: ReadonlySet<string>, purpose: 'attempt' | 'hedge'): Candidate | undefined {
    const { directory, failureDomain, random, onShortage } = this.options
    const workMs = this.readWorkMs(job)
    const candidates = this.withOwnTarget(directory.findCandidates(job.service), job.service)
    const choice = { candidates, failureDomain, tried, workMs, random }
    const best = chooseTarget(choice)
    if (best !== undefined && purpose === 'attempt') this.recordMove(choice, best)
    if (best !== undefined && estimateCost(best, failureDomain, workMs) < widenAboveCost) return best
    onShortage(job.service)
    return best ?? chooseTarget({ candidates: directory.findCandidates(job.service, 'any'), failureDomain, tried, workMs, random })
  }

  /** Finds the target that runs the suspects of a service; undefined if none may now, or if the request was already sent there. */
  private findTrialTarget (service: string, tried: ReadonlySet<string>): Candidate | undefined {
    const target = findTrialTarget(this.withOwnTarget(this.options.directory.findCandidates(service, 'any'), service))
    return target === undefined || tried.has(target.id) ? undefined : target
  }

  private recordMove (choice: TargetChoice, chosen: Candidate): void {
    const avoided = findAvoidedTarget(choice, chosen)
    if (avoided !== undefined) this.moveLog.record(avoided, chosen.id)
  }

  /** Replaces the reported state of the target on this VM by its current state. */
  private withOwnTarget (candidates: readonly Candidate[], service: string): Candidate[] {
    const { ownTarget, ip } = this.options
    const others = candidates.filter(candidate => candidate.ip !== ip)
    const report = ownTarget.describe()
    const usable = report.service === service && (report.fresh || this.options.directory.isListedAsReady(report.id))
    return usable ? [...others, { ...report, ip, cold: false, rateWaitMs: computeRateWaitMs(report), reportAgeMs: 0 }] : others
  }

  /**
   * Attempts a request, and hedges an idempotent one on a second target when the first is overdue and the second is
   * expected to answer in time.
   */
  private async attemptWithHedge (job: Job, route: Route, target: Candidate, progress: Progress, signal: CancelSignal): Promise<Outcome> {
    if (!job.idempotent || progress.reachedTargets > 0 || progress.suspect) return await this.attempt(job, target, signal)
    const { clock, logger, metrics } = this.options
    const workMs = this.readWorkMs(job)
    const cancellations = [createLinkedCancellation(signal), createLinkedCancellation(signal)] as const
    const first = this.attempt(job, target, cancellations[0])
    const hedgeTarget = await awaitHedgeTarget(first, {
      clock,
      firstCheckAt: computeFirstCheckAt(job, workMs),
      deadlineAt: job.deadlineAt,
      findTarget: () => this.findHedgeTarget(job, route, target, progress, workMs)
    })
    if (hedgeTarget === undefined || signal.aborted) return await first
    progress.tried.add(hedgeTarget.id)
    progress.reachedTargets++
    metrics.count('retries_total')
    logger.info('request-hedged', { request: job.id, first: target.id, second: hedgeTarget.id, workMs: Math.round(workMs), slowness: hedgeTarget.slowness })
    return await awaitFirstSuccess([first, this.attempt(job, hedgeTarget, cancellations[1])], cancellations)
  }

  private findHedgeTarget (job: Job, route: Route, target: Candidate, progress: Progress, workMs: number): Candidate | undefined {
    const candidates = this.withOwnTarget(this.options.directory.findCandidates(job.service), job.service)
    const current = candidates.find(({ id }) => id === target.id)
    const alternative = this.chooseCandidate(job, progress.tried, 'hedge')
    if (alternative === undefined || !shouldHedge({ job, workMs, current, alternative, now: this.options.clock.now() })) return undefined
    return this.mayAttempt(job, route, { ...progress, reachedTargets: 1 }) ? alternative : undefined
  }

  private async attempt (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { directory, ownTarget, ip } = this.options
    const startedAt = this.options.clock.now()
    directory.recordRequestStart(target.id)
    const outcome = target.ip === ip ? await ownTarget.run(job, target.id, signal) : await this.sendToPeer(job, target, signal)
    directory.recordRequestEnd(target.id)
    if (outcome.kind === 'answer') this.workEstimate.record(job.route, this.options.clock.now() - startedAt, target.slowness)
    return outcome
  }

  private async sendToPeer (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { pendingInput, peers } = this.options
    await pendingInput.readIfOld()
    return signal.aborted ? notRun('left') : await peers.send(job, target, signal)
  }

  /**
   * Whether the request may be sent to one more target: always before it reached one, then within the attempts of its
   * route and the retry budget.
   */
  private mayAttempt (job: Job, route: Route, { reachedTargets }: Progress): boolean {
    if (reachedTargets === 0) return true
    if (reachedTargets >= route.maxAttempts) return false
    const { clock, retryBudget } = this.options
    return this.getRetryWindow(job.service).takeRetry(clock.now(), retryBudget())
  }

  /** Expected work of a request at usual speed, in milliseconds. */
  private readWorkMs ({ route, objectiveMs }: Job): number {
    return this.workEstimate.read(route, objectiveMs * initialWorkShare)
  }

  /** Whether the outcome of an attempt goes to the caller without another attempt. */
  private isFinal (outcome: Outcome, job: Job, signal: CancelSignal): boolean {
    if (signal.aborted || this.options.clock.now() >= job.deadlineAt) return true
    switch (outcome.kind) {
      case 'answer': return outcome.status < 500 || outcome.status === 504 || !job.idempotent
      case 'not-run': return outcome.cause === 'expired' || outcome.cause === 'left' || outcome.cause === 'quarantined'
      case 'may-have-run': return !job.idempotent
    }
  }

  /** Logs each attempt without a successful answer, with the target state that it was based on and the age of that state. */
  private logFailure (outcome: Outcome, job: Job, target: Candidate, attempts: number): void {
    if (outcome.kind === 'answer' && outcome.status < 500) return
    this.options.logger.info('offer-failed', {
      request: job.id,
      offer: attempts + 1,
      target: target.id,
      kind: outcome.kind,
      cause: outcome.kind === 'answer' ? `status ${outcome.status}` : outcome.cause,
      heardMsAgo: Math.round(target.reportAgeMs),
      running: target.running,
      waiting: target.waiting,
      limit: target.limit,
      rateWaitMs: Math.round(target.rateWaitMs),
      slowness: target.slowness,
      ...outcome.kind === 'not-run' ? describeEvidence(outcome.evidence) : {}
    })
  }

  private getRetryWindow (service: string): RetryWindow {
    const existing = this.retryWindows.get(service)
    if (existing !== undefined) return existing
    const created = RetryWindow.create()
    this.retryWindows.set(service, created)
    return created
  }
}

/** Records the outcome of an attempt that is not final. */
function recordOutcome (progress: Progress, outcome: Outcome): void {
  if (outcome.kind !== 'not-run' || outcome.cause === 'rejected') progress.reachedTargets++
  if (outcome.kind !== 'answer' && (outcome.cause === 'crashed' || outcome.cause === 'suspect')) progress.suspect = true
  progress.outcome = mergeOutcomes(progress.outcome, outcome)
}

/**
 * Combines the outcomes of two attempts: an answer is kept, and so is the possibility that the request ran, until there
 * is an answer.
 */
function mergeOutcomes (earlier: Outcome, later: Outcome): Outcome {
  if (later.kind === 'answer') return later
  if (earlier.kind === 'answer') return earlier
  if (earlier.kind === 'may-have-run' && later.kind === 'not-run') return earlier
  return later
}

interface ForwarderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  readonly directory: Directory
  readonly ownTarget: OwnTarget
  readonly peers: RequestSender
  readonly pendingInput: PendingInput
  /** IP address of this VM. */
  readonly ip: string
  /** Failure domain of this VM. */
  readonly failureDomain: string
  /** Called when the targets of the selected nodes do not suffice for a service. */
  readonly onShortage: (service: string) => void
  /** Returns the retry budget that all nodes share for each service. */
  readonly retryBudget: () => RetryBudget
}
