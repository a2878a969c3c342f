import type { Load, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import { chooseAdaptive, computeSlowness } from './adaptive.js'
import { createCandidate, estimateCalls, estimateLatency, isUsable, recordAnswer, recordIncarnation, recordLoad, recordResult, adaptTimeConstant, resetCandidate, updateAverages } from './candidate.js'
import { errorSmoothing, membersRefreshMs, slowRatio, spareSlotsShare, maxSubsetTargets, unreachableSmoothing } from './constants.js'
import { classifyOutcome } from './classify-outcome.js'
import { chooseOwner, chooseSubset } from './subset.js'
import type { Candidate, Policy, ServiceAverage } from './types.js'

/** One attempt on its way, from `started` to `finished`. */
export interface StartedAttempt {
  readonly candidate: Candidate
  readonly startedAt: number
}

/** Chooses targets for one service and learns from what becomes of the attempts. */
export class Balancer {
  private readonly clock: Clock
  private readonly random: Random
  private readonly policy: Policy
  private readonly directory: Directory
  private readonly service: string
  private readonly routerId: string
  private readonly usual: ServiceAverage = { latencyMs: 0 }
  private readonly candidatesById = new Map<string, Candidate>()
  private candidates: readonly Candidate[] = []
  private membersReadAt = -Infinity
  /** When a target was last chosen. */
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

  /** A live target whose id is not in `excluded`; undefined when there is none. */
  choose (excluded: ReadonlySet<string>): Member | undefined {
    const candidates = this.getCandidates()
    this.lastChosenAt = this.clock.now()
    const left = excluded.size === 0 ? candidates : candidates.filter(({ member }) => !excluded.has(member.id))
    if (left.length === 0) return undefined
    return this.policy(left, this.random, this.clock.now()).member
  }

  /** The one live target that every router picks for `key`. */
  chooseOwner (key: string): Member | undefined {
    return chooseOwner(this.directory.liveMembers(this.service), key)
  }

  /** Whether a target is usable and about as fast as the fastest. */
  isHealthy (id: string): boolean {
    const now = this.clock.now()
    const candidate = this.candidatesById.get(id)
    if (candidate === undefined) return true
    return isUsable(candidate, now) && computeSlowness(candidate, this.findFastestMs(now), now) <= 1 && candidate.errorShare < 0.5
  }

  /** Whether a target is expected to have slots to spare. */
  hasSpareSlots (id: string): boolean {
    const candidate = this.candidatesById.get(id)
    if (candidate?.load === undefined) return false
    return estimateCalls(candidate, this.clock.now()) < candidate.load.limit * spareSlotsShare
  }

  /** To be called when an attempt at `member` starts. */
  recordStart (member: Member): StartedAttempt {
    const now = this.clock.now()
    const candidate = this.getOrCreateCandidate(member)
    updateAverages(candidate, now)
    candidate.inFlight++
    this.lastStartAt.set(candidate, now)
    return { candidate, startedAt: now }
  }

  /** To be called once for every `started`. */
  recordOutcome ({ candidate, startedAt: at }: StartedAttempt, outcome: Outcome): void {
    const now = this.clock.now()
    const result = classifyOutcome(outcome)
    updateAverages(candidate, now)
    candidate.inFlight--
    recordIncarnation(candidate, outcome.incarnation, now)
    if (result === 'refused' && showsFreeSlots(candidate)) candidate.reportConfidence = 0
    recordLoad(candidate, outcome.load, now, this.lastStartAt.get(candidate) ?? now)
    if (result === 'answered') recordAnswer(candidate, now - at)
    adaptTimeConstant(candidate, slowRatio * computeSlowness(candidate, this.findFastestMs(now), now), now)
    if (result === 'refused' || result === 'abandoned') return
    const weight = result === 'unreachable' ? unreachableSmoothing : errorSmoothing
    recordResult(candidate, result !== 'answered', weight, this.findLowestErrorShare(), now)
  }

  /** Takes in what a probe of a target told. */
  recordReport (member: Member, load: Load, incarnation: string | undefined): void {
    const candidate = this.getOrCreateCandidate(member)
    recordIncarnation(candidate, incarnation, this.clock.now())
    recordLoad(candidate, load, this.clock.now(), this.lastStartAt.get(candidate) ?? -Infinity)
  }

  /** The target in use whose last report is the oldest, with the time of that report; only of those that `isAskable`. */
  findStalest (isAskable: (member: Member) => boolean): { readonly member: Member, readonly loadAt: number } | undefined {
    let stalest: Candidate | undefined
    for (const candidate of this.getCandidates()) {
      if (!isAskable(candidate.member)) continue
      if (stalest === undefined || candidate.loadReceivedAt < stalest.loadReceivedAt) stalest = candidate
    }
    return stalest === undefined ? undefined : { member: stalest.member, loadAt: stalest.loadReceivedAt }
  }

  /** Reads the members again at the next choice. */
  refresh (): void {
    this.membersReadAt = -Infinity
  }

  /** Forgets every report and latency, as after a pause of this process. */
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

  private getCandidates (): readonly Candidate[] {
    const now = this.clock.now()
    if (now - this.membersReadAt < membersRefreshMs) return this.candidates
    const first = this.candidatesById.size === 0
    const members = chooseSubset(this.directory.liveMembers(this.service), this.routerId, maxSubsetTargets)
    this.candidates = members.map(member => this.getOrCreateCandidate(member, first ? -Infinity : now))
    this.prune(new Set(members.map(({ id }) => id)))
    this.membersReadAt = now
    return this.candidates
  }

  private prune (ids: ReadonlySet<string>): void {
    for (const [id, candidate] of this.candidatesById) {
      if (!ids.has(id) && candidate.inFlight === 0) this.candidatesById.delete(id)
    }
  }

  private getOrCreateCandidate (member: Member, newAt = -Infinity): Candidate {
    const known = this.candidatesById.get(member.id)
    if (known !== undefined) {
      known.member = member
      return known
    }
    const fresh = createCandidate(member, newAt, this.usual)
    this.candidatesById.set(member.id, fresh)
    return fresh
  }

  private findFastestMs (now: number): number {
    let fastest = Infinity
    for (const candidate of this.candidates) {
      if (isUsable(candidate, now)) fastest = Math.min(fastest, estimateLatency(candidate, now))
    }
    return fastest
  }

  private findLowestErrorShare (): number {
    let least = 1
    for (const candidate of this.candidates) least = Math.min(least, candidate.errorShare)
    return least
  }
}

/** Whether a refusal contradicts the report before it, which showed free slots. */
function showsFreeSlots ({ load }: Candidate): boolean {
  return load !== undefined && load.running + load.queued < load.limit
}

interface BalancerOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly policy?: Policy
  /** Tells the subsets of different routers apart: the node's id. */
  readonly routerId?: string
}
