import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import type { Route } from '../configuration/index.js'
import { notRun, WorkEstimate } from '../own-target/index.js'
import type { Job, Outcome, OwnTarget } from '../own-target/index.js'
import { RetryWindow } from '../retries/index.js'
import type { RetryBudget } from '../retries/index.js'
import { chooseTarget, estimateCost, slowFactor, widenAboveCost } from '../targets/index.js'
import type { Candidate, Directory } from '../targets/index.js'
import { hedgeFirstShare, maxImpatientOffers, maxOffers, unknownRetryMs } from './constants.js'
import { awaitHedge, createLane, firstGood, firstLookAt, isWorthHedging } from './hedge.js'
import type { Peers } from './peers.js'

/** What came of one request so far. */
interface Progress {
  readonly tried: Set<string>
  /** Targets that it has reached. */
  arrivals: number
  /** What to tell the caller if no better comes. */
  outcome: Outcome
}

/** Takes a request to a target, and to another one where that is safe, allowed and still helps. */
export class Forwarder {
  private readonly options: ForwarderOptions
  private readonly budgets = new Map<string, RetryWindow>()
  private readonly work = WorkEstimate.create()

  private constructor (options: ForwarderOptions) {
    this.options = options
  }

  static create (options: ForwarderOptions): Forwarder {
    return new Forwarder(options)
  }

  /** Runs a request to its outcome. Never rejects. */
  async run (job: Job, route: Route, signal: CancelSignal): Promise<Outcome> {
    const { clock, directory } = this.options
    const progress: Progress = { tried: new Set(), arrivals: 0, outcome: notRun('no-target', unknownRetryMs) }
    this.budgetOf(job.service).countFirstAttempt(clock.now())
    for (let offers = 0; offers < maxOffers; offers++) {
      const target = this.choose(job, progress.tried)
      if (target === undefined || !this.mayOffer(job, route, progress)) break
      if (offers > 0) this.options.metrics.count('retries_total')
      progress.tried.add(target.id)
      // Where even the best target is slow, or the last one to be asked, the request waits there.
      const patient = target.slowness >= slowFactor || offers >= maxImpatientOffers
      const outcome = await this.offerHedged({ ...job, patient }, route, target, progress, signal)
      if (outcome.kind === 'not-run' && outcome.cause === 'slow') {
        progress.tried.delete(target.id)
        directory.markSlow(target.id)
        continue
      }
      this.logFailure(outcome, job, target, offers)
      if (this.isFinal(outcome, job, signal)) return keepDoubt(progress.outcome, outcome)
      note(progress, outcome)
    }
    return progress.outcome
  }

  private choose (job: Job, tried: ReadonlySet<string>): Candidate | undefined {
    const { directory, failureDomain, random, onShortage } = this.options
    const candidates = this.withOwn(directory.findCandidates(job.service), job.service)
    const best = chooseTarget({ candidates, failureDomain, tried, random })
    if (best !== undefined && estimateCost(best, failureDomain) < widenAboveCost) return best
    onShortage(job.service)
    return best ?? chooseTarget({ candidates: directory.findCandidates(job.service, 'any'), failureDomain, tried, random })
  }

  /** Replaces what was heard of the own target by what is known of it. */
  private withOwn (candidates: readonly Candidate[], service: string): Candidate[] {
    const { own, ip } = this.options
    const others = candidates.filter(candidate => candidate.ip !== ip)
    const report = own.describe()
    const usable = report.service === service && (report.fresh || this.options.directory.isListedAsReady(report.id))
    return usable ? [...others, { ...report, ip, cold: false, reportAgeMs: 0 }] : others
  }

  /** Offers an idempotent request to a second target when the first is late and the second is expected not to be. */
  private async offerHedged (job: Job, route: Route, target: Candidate, progress: Progress, signal: CancelSignal): Promise<Outcome> {
    if (!job.idempotent || progress.arrivals > 0) return await this.offer(job, target, signal)
    const { clock, logger, metrics } = this.options
    const workMs = this.work.read(job.route, job.objectiveMs * hedgeFirstShare)
    const lanes = [createLane(signal), createLane(signal)] as const
    const first = this.offer(job, target, lanes[0])
    const other = await awaitHedge(first, {
      clock,
      firstLook: firstLookAt(job, workMs),
      endsAt: job.deadlineAt,
      find: () => this.findHedge(job, route, target, progress, workMs)
    })
    if (other === undefined || signal.aborted) return await first
    progress.tried.add(other.id)
    progress.arrivals++
    metrics.count('retries_total')
    logger.info('offered-twice', { request: job.id, first: target.id, second: other.id, workMs: Math.round(workMs), slowness: other.slowness })
    return await firstGood([first, this.offer(job, other, lanes[1])], lanes)
  }

  private findHedge (job: Job, route: Route, target: Candidate, progress: Progress, workMs: number): Candidate | undefined {
    const candidates = this.withOwn(this.options.directory.findCandidates(job.service), job.service)
    const present = candidates.find(({ id }) => id === target.id)
    const other = this.choose(job, progress.tried)
    if (other === undefined || !isWorthHedging({ job, workMs, present, other, now: this.options.clock.now() })) return undefined
    return this.mayOffer(job, route, { ...progress, arrivals: 1 }) ? other : undefined
  }

  private async offer (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome> {
    const { directory, own, ip, peers } = this.options
    const startedAt = this.options.clock.now()
    directory.recordRequestStart(target.id)
    const outcome = target.ip === ip ? await own.run(job, target.id, signal) : await peers.send(job, target, signal)
    directory.recordRequestEnd(target.id)
    if (outcome.kind === 'answer') this.work.record(job.route, this.options.clock.now() - startedAt, target.slowness)
    return outcome
  }

  /** Whether one more target may get the request: the first always, a second within the budget. */
  private mayOffer (job: Job, route: Route, { arrivals }: Progress): boolean {
    if (arrivals === 0) return true
    if (arrivals >= route.maxAttempts) return false
    const { clock, retryBudget } = this.options
    return this.budgetOf(job.service).takeRetry(clock.now(), retryBudget())
  }

  private isFinal (outcome: Outcome, job: Job, signal: CancelSignal): boolean {
    if (signal.aborted || this.options.clock.now() >= job.deadlineAt) return true
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
      heardMsAgo: Math.round(target.reportAgeMs),
      running: target.running,
      waiting: target.waiting,
      limit: target.limit,
      slowness: target.slowness
    })
  }

  private budgetOf (service: string): RetryWindow {
    const known = this.budgets.get(service)
    if (known !== undefined) return known
    const fresh = RetryWindow.create()
    this.budgets.set(service, fresh)
    return fresh
  }
}

/** Remembers what an offer that is not the last one came to. */
function note (progress: Progress, outcome: Outcome): void {
  if (outcome.kind !== 'not-run' || outcome.cause === 'rejected') progress.arrivals++
  progress.outcome = keepDoubt(progress.outcome, outcome)
}

/** What is known after a later offer: an answer stays, and so does doubt, until there is an answer. */
function keepDoubt (earlier: Outcome, later: Outcome): Outcome {
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
