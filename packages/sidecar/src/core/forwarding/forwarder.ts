import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import type { Route } from '../configuration/index.js'
import { notRun, WorkEstimate } from '../own-target/index.js'
import type { Job, Outcome, OwnTarget } from '../own-target/index.js'
import { RetryWindow } from '../retries/index.js'
import type { RetryBudget } from '../retries/index.js'
import { chooseTarget, priceOf, slowFactor, widenAbovePrice } from '../targets/index.js'
import type { Candidate, Directory } from '../targets/index.js'
import { initialWorkShare, maxNonWaitingAttempts, maxTargetAttempts, defaultRetryAfterMs } from './constants.js'
import { awaitHedgeTarget, createLinkedCancellation, awaitFirstSuccess, computeFirstCheckAt, shouldHedge } from './hedge.js'
import type { Peers } from './peers.js'

/** What came of one request so far. */
interface Progress {
  readonly tried: Set<string>
  /** Targets that it has reached. */
  reachedTargets: number
  /** What to tell the caller if no better comes. */
  outcome: Outcome
}

/** Takes a request to a target, and to another one where that is safe, allowed and still helps. */
export class Forwarder {
  private readonly options: ForwarderOptions
  private readonly retryWindows = new Map<string, RetryWindow>()
  private readonly workEstimate = WorkEstimate.create()

  private constructor (options: ForwarderOptions) {
    this.options = options
  }

  static create (options: ForwarderOptions): Forwarder {
    return new Forwarder(options)
  }

  /** Runs a request to its outcome. Never rejects. */
  async run (job: Job, route: Route, signal: CancelSignal): Promise<Outcome> {
    const { clock, directory } = this.options
    const progress: Progress = { tried: new Set(), reachedTargets: 0, outcome: notRun('no-target', defaultRetryAfterMs) }
    this.findRetryWindow(job.service).countFirst(clock.now())
    for (let offers = 0; offers < maxTargetAttempts; offers++) {
      const target = this.chooseCandidate(job, progress.tried)
      if (target === undefined || !this.mayAttempt(job, route, progress)) break
      if (offers > 0) this.options.metrics.count('retries_total')
      progress.tried.add(target.id)
      // Where even the best target is slow, or the last one to be asked, the request waits there.
      const patient = target.slowness >= slowFactor || offers >= maxNonWaitingAttempts
      const outcome = await this.attemptWithHedge({ ...job, patient }, route, target, progress, signal)
      if (outcome.kind === 'not-run' && outcome.cause === 'slow') {
        progress.tried.delete(target.id)
        directory.noteSlow(target.id)
        continue
      }
      this.logFailure(outcome, job, target, offers)
      if (this.isFinal(outcome, job, signal)) return mergeOutcomes(progress.outcome, outcome)
      recordOutcome(progress, outcome)
    }
    return progress.outcome
  }

  private chooseCandidate (job: Job, tried: ReadonlySet<string>): Candidate | undefined {
    const { directory, failureDomain, random, onShortage } = this.options
    const candidates = this.withOwnTarget(directory.candidates(job.service), job.service)
    const best = chooseTarget({ candidates, failureDomain, tried, random })
    if (best !== undefined && priceOf(best, failureDomain) < widenAbovePrice) return best
    onShortage(job.service)
    return best ?? chooseTarget({ candidates: directory.candidates(job.service, 'any'), failureDomain, tried, random })
  }

  /** Replaces what was heard of the own target by what is known of it. */
  private withOwnTarget (candidates: readonly Candidate[], service: string): Candidate[] {
    const { own, ip } = this.options
    const others = candidates.filter(candidate => candidate.ip !== ip)
    const report = own.describe()
    const usable = report.service === service && (report.fresh || this.options.directory.isListed(report.id))
    return usable ? [...others, { ...report, ip, cold: false, silentMs: 0 }] : others
  }

  /** Offers an idempotent request to a second target when the first is late and the second is expected not to be. */
  private async attemptWithHedge (job: Job, route: Route, target: Candidate, progress: Progress, signal: CancelSignal): Promise<Outcome> {
    if (!job.idempotent || progress.reachedTargets > 0) return await this.attempt(job, target, signal)
    const { clock, logger, metrics } = this.options
    const workMs = this.workEstimate.read(job.route, job.objectiveMs * initialWorkShare)
    const lanes = [createLinkedCancellation(signal), createLinkedCancellation(signal)] as const
    const first = this.attempt(job, target, lanes[0])
    const other = await awaitHedgeTarget(first, {
      clock,
      firstCheckAt: computeFirstCheckAt(job, workMs),
      endsAt: job.endsAt,
      findTarget: () => this.findHedgeTarget(job, route, target, progress, workMs)
    })
    if (other === undefined || signal.aborted) return await first
    progress.tried.add(other.id)
    progress.reachedTargets++
    metrics.count('retries_total')
    logger.info('request-hedged', { request: job.id, first: target.id, second: other.id, workMs: Math.round(workMs), slowness: other.slowness })
    return await awaitFirstSuccess([first, this.attempt(job, other, lanes[1])], lanes)
  }

  private findHedgeTarget (job: Job, route: Route, target: Candidate, progress: Progress, workMs: number): Candidate | undefined {
    const candidates = this.withOwnTarget(this.options.directory.candidates(job.service), job.service)
    const present = candidates.find(({ id }) => id === target.id)
    const other = this.chooseCandidate(job, progress.tried)
    if (other === undefined || !shouldHedge({ job, workMs, current: present, alternative: other, now: this.options.clock.now() })) return undefined
    return this.mayAttempt(job, route, { ...progress, reachedTargets: 1 }) ? other : undefined
  }

  private async attempt (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { directory, own, ip, peers } = this.options
    const startedAt = this.options.clock.now()
    directory.started(target.id)
    const outcome = target.ip === ip ? await own.run(job, target.id, signal) : await peers.send(job, target, signal)
    directory.finished(target.id)
    if (outcome.kind === 'answer') this.workEstimate.record(job.route, this.options.clock.now() - startedAt, target.slowness)
    return outcome
  }

  /** Whether one more target may get the request: the first always, a second within the budget. */
  private mayAttempt (job: Job, route: Route, { reachedTargets: arrivals }: Progress): boolean {
    if (arrivals === 0) return true
    if (arrivals >= route.maxAttempts) return false
    const { clock, retryBudget } = this.options
    return this.findRetryWindow(job.service).take(clock.now(), retryBudget())
  }

  private isFinal (outcome: Outcome, job: Job, signal: CancelSignal): boolean {
    if (signal.aborted || this.options.clock.now() >= job.endsAt) return true
    switch (outcome.kind) {
      case 'answer': return outcome.status < 500 || outcome.status === 504 || !job.idempotent
      case 'not-run': return outcome.cause === 'expired' || outcome.cause === 'left'
      case 'may-have-run': return !job.idempotent
    }
  }

  /** One line for each offer without a good answer: what it was decided on, and how old that was. */
  private logFailure (outcome: Outcome, job: Job, target: Candidate, offers: number): void {
    if (outcome.kind === 'answer' && outcome.status < 500) return
    this.options.logger.info('offer-failed', {
      request: job.id,
      offer: offers + 1,
      target: target.id,
      kind: outcome.kind,
      cause: outcome.kind === 'answer' ? `status ${outcome.status}` : outcome.cause,
      heardMsAgo: Math.round(target.silentMs),
      running: target.running,
      waiting: target.waiting,
      limit: target.limit,
      slowness: target.slowness
    })
  }

  private findRetryWindow (service: string): RetryWindow {
    const known = this.retryWindows.get(service)
    if (known !== undefined) return known
    const fresh = RetryWindow.create()
    this.retryWindows.set(service, fresh)
    return fresh
  }
}

/** Remembers what an offer that is not the last one came to. */
function recordOutcome (progress: Progress, outcome: Outcome): void {
  if (outcome.kind !== 'not-run' || outcome.cause === 'rejected') progress.reachedTargets++
  progress.outcome = mergeOutcomes(progress.outcome, outcome)
}

/** What is known after a later offer: an answer stays, and so does doubt, until there is an answer. */
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
  readonly own: OwnTarget
  readonly peers: Peers
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Called when the known targets of a service do not suffice. */
  readonly onShortage: (service: string) => void
  /** What all nodes together may repeat for each service. */
  readonly retryBudget: () => RetryBudget
}
