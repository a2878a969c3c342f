import type { Load, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import { chooseAdaptive, computeSlowness } from './adaptive.js'
import { adaptTimeConstant, createCandidate, estimateCalls, estimateLatency, isUsable, recordAnswer, recordIncarnation, recordLoad, recordResult, resetCandidate, updateAverages } from './candidate.js'
import { classifyOutcome } from './classify-outcome.js'
import { errorSmoothing, maxSubsetTargets, membersRefreshMs, slowRatio, spareSlotsShare, unreachableSmoothing } from './constants.js'
import { chooseOwner, chooseSubset } from './subset.js'
import type { Candidate, Policy, ServiceAverage } from './types.js'

/** An attempt in flight, as returned by `recordStart`. */
export interface StartedAttempt {
  readonly candidate: Candidate
  /** Clock milliseconds. */
  readonly startedAt: number
}

/** Chooses targets for one service and updates its estimates of them from the outcomes of attempts. */
export class Balancer {
  private readonly clock: Clock
  private readonly random: Random
  private readonly policy: Policy
  private readonly directory: Directory
  private readonly service: string
  private readonly routerId: string
  private readonly serviceAverage: ServiceAverage = { latencyMs: 0 }
  private readonly candidatesById = new Map<string, Candidate>()
  private candidates: readonly Candidate[] = []
  private membersReadAt = -Infinity
  /** When `choose` was last called, in clock milliseconds; `-Infinity` before the first call. */
  lastChosenAt = -Infinity
  private readonly lastStartAt = new WeakMap<Candidate, number>()

  private constructor (options: BalancerOptions) {
    this.clock = options.clock
    this.random = options.random
    this.policy = options.policy ?? chooseAdaptive
    this.directory = options.directory
    this.service = options.service
    this.routerId = options.routerId ?? ''
  }

  static create (options: BalancerOptions): Balancer {
    return new Balancer(options)
  }

  /** Chooses a live target whose id is not in `excluded`; undefined when there is none. */
  choose (excluded: ReadonlySet<string>): Member | undefined {
    const candidates = this.getCandidates()
    this.lastChosenAt = this.clock.now()
    const eligible = excluded.size === 0 ? candidates : candidates.filter(({ member }) => !excluded.has(member.id))
    if (eligible.length === 0) return undefined
    return this.policy(eligible, this.random, this.clock.now()).member
  }

  /** The one live target that every router chooses for `key`; undefined when there is none. */
  chooseOwner (key: string): Member | undefined {
    return chooseOwner(this.directory.liveMembers(this.service), key)
  }

  /**
   * Whether a target is usable, not slow compared with the fastest and fails less than half of its attempts.
   * A target without estimates counts as healthy.
   */
  isHealthy (id: string): boolean {
    const now = this.clock.now()
    const candidate = this.candidatesById.get(id)
    if (candidate === undefined) return true
    return isUsable(candidate, now) && computeSlowness(candidate, this.findFastestMs(now), now) <= 1 && candidate.errorShare < 0.5
  }

  /** Whether a target is expected to have enough free slots for a second attempt; false without a load report. */
  hasSpareSlots (id: string): boolean {
    const candidate = this.candidatesById.get(id)
    if (candidate?.load === undefined) return false
    return estimateCalls(candidate, this.clock.now()) < candidate.load.limit * spareSlotsShare
  }

  /** Counts an attempt at `member` as in flight. Call it when the attempt starts. */
  recordStart (member: Member): StartedAttempt {
    const now = this.clock.now()
    const candidate = this.getOrCreateCandidate(member)
    updateAverages(candidate, now)
    candidate.inFlight++
    this.lastStartAt.set(candidate, now)
    return { candidate, startedAt: now }
  }

  /** Updates the estimates of a target from the outcome of an attempt. Call it once for every `recordStart`. */
  recordOutcome ({ candidate, startedAt }: StartedAttempt, outcome: Outcome): void {
    const now = this.clock.now()
    const result = classifyOutcome(outcome)
    updateAverages(candidate, now)
    candidate.inFlight--
    recordIncarnation(candidate, outcome.incarnation, now)
    if (result === 'refused' && showsFreeSlots(candidate)) candidate.reportConfidence = 0
    recordLoad(candidate, outcome.load, now, this.lastStartAt.get(candidate) ?? now)
    if (result === 'answered') recordAnswer(candidate, now - startedAt)
    adaptTimeConstant(candidate, slowRatio * computeSlowness(candidate, this.findFastestMs(now), now), now)
    if (result === 'refused' || result === 'abandoned') return
    const weight = result === 'unreachable' ? unreachableSmoothing : errorSmoothing
    recordResult(candidate, result !== 'answered', weight, this.findLowestErrorShare(), now)
  }

  /** Records the load and incarnation that a probe of a target returned. */
  recordReport (member: Member, load: Load, incarnation: string | undefined): void {
    const candidate = this.getOrCreateCandidate(member)
    recordIncarnation(candidate, incarnation, this.clock.now())
    recordLoad(candidate, load, this.clock.now(), this.lastStartAt.get(candidate) ?? -Infinity)
  }

  /** The target in use with the oldest load report, and the time of that report; only targets that `mayProbe` allows. */
  findStalest (mayProbe: (member: Member) => boolean): { readonly member: Member, readonly loadAt: number } | undefined {
    let stalest: Candidate | undefined
    for (const candidate of this.getCandidates()) {
      if (!mayProbe(candidate.member)) continue
      if (stalest === undefined || candidate.loadReceivedAt < stalest.loadReceivedAt) stalest = candidate
    }
    return stalest === undefined ? undefined : { member: stalest.member, loadAt: stalest.loadReceivedAt }
  }

  /** Makes the next choice read the member list again. */
  refresh (): void {
    this.membersReadAt = -Infinity
  }

  /** Discards all load reports and estimates, which are out of date after a pause of this process. */
  resetEstimates (): void {
    for (const candidate of this.candidatesById.values()) resetCandidate(candidate)
    this.refresh()
  }

  dump (): unknown {
    const now = this.clock.now()
    return this.candidates.map(candidate => ({
      id: candidate.member.id,
      inFlight: candidate.inFlight,
      expectedCalls: estimateCalls(candidate, now),
      latencyMs: estimateLatency(candidate, now),
      errorShare: candidate.errorShare,
      slowness: computeSlowness(candidate, this.findFastestMs(now), now),
      usable: isUsable(candidate, now),
      trust: candidate.reportConfidence,
      load: candidate.load,
      reportAgeMs: candidate.load === undefined ? undefined : now - candidate.loadReceivedAt
    }))
  }

  /** The targets in use; reads the member list again when it was last read `membersRefreshMs` ago or earlier. */
  private getCandidates (): readonly Candidate[] {
    const now = this.clock.now()
    if (now - this.membersReadAt < membersRefreshMs) return this.candidates
    const isFirstRead = this.candidatesById.size === 0
    const members = chooseSubset(this.directory.liveMembers(this.service), this.routerId, maxSubsetTargets)
    this.candidates = members.map(member => this.getOrCreateCandidate(member, isFirstRead ? -Infinity : now))
    this.prune(new Set(members.map(({ id }) => id)))
    this.membersReadAt = now
    return this.candidates
  }

  /** Removes candidates that are not in `ids` and have no call in flight. */
  private prune (ids: ReadonlySet<string>): void {
    for (const [id, candidate] of this.candidatesById) {
      if (!ids.has(id) && candidate.inFlight === 0) this.candidatesById.delete(id)
    }
  }

  private getOrCreateCandidate (member: Member, rampStartedAt = -Infinity): Candidate {
    const existing = this.candidatesById.get(member.id)
    if (existing !== undefined) {
      existing.member = member
      return existing
    }
    const created = createCandidate(member, rampStartedAt, this.serviceAverage)
    this.candidatesById.set(member.id, created)
    return created
  }

  private findFastestMs (now: number): number {
    let fastest = Infinity
    for (const candidate of this.candidates) {
      if (isUsable(candidate, now)) fastest = Math.min(fastest, estimateLatency(candidate, now))
    }
    return fastest
  }

  private findLowestErrorShare (): number {
    let lowest = 1
    for (const candidate of this.candidates) lowest = Math.min(lowest, candidate.errorShare)
    return lowest
  }
}

/** Whether the last load report shows free slots. A refusal that follows such a report contradicts it. */
function showsFreeSlots ({ load }: Candidate): boolean {
  return load !== undefined && load.running + load.queued < load.limit
}

interface BalancerOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  /** Defaults to `chooseAdaptive`. */
  readonly policy?: Policy
  /** Id of the node that routes; the subset of targets that it uses is derived from it. */
  readonly routerId?: string
}
