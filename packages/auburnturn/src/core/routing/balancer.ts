import type { Load, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import { chooseAdaptive, slownessOf } from './adaptive.js'
import { createCandidate, estimateCalls, estimateLatency, isUsable, noteAnswer, noteIncarnation, noteLoad, noteResult, noteSlowness, reset, settle } from './candidate.js'
import { errorSmoothing, refreshMs, slowRatio, spareShare, subsetSize, unreachableSmoothing } from './constants.js'
import { judgeOutcome } from './judge.js'
import { chooseOwner, chooseSubset } from './subset.js'
import type { Candidate, Policy, Usual } from './types.js'

/** One attempt on its way, from `started` to `finished`. */
export interface Started {
  readonly candidate: Candidate
  readonly at: number
}

/** Chooses targets for one service and learns from what becomes of the attempts. */
export class Balancer {
  private readonly clock: Clock
  private readonly random: Random
  private readonly policy: Policy
  private readonly directory: Directory
  private readonly service: string
  private readonly router: string
  private readonly usual: Usual = { latencyMs: 0 }
  private readonly known = new Map<string, Candidate>()
  private candidates: readonly Candidate[] = []
  private readAt = -Infinity
  /** When a target was last chosen. */
  usedAt = -Infinity
  private readonly startedAt = new WeakMap<Candidate, number>()

  private constructor (options: BalancerOptions) {
    this.clock = options.clock
    this.random = options.random
    this.policy = options.policy ?? chooseAdaptive
    this.directory = options.directory
    this.service = options.service
    this.router = options.router ?? ''
  }

  static create (options: BalancerOptions): Balancer {
    return new Balancer(options)
  }

  /** A live target whose id is not in `excluded`; undefined when there is none. */
  choose (excluded: ReadonlySet<string>): Member | undefined {
    const candidates = this.current()
    this.usedAt = this.clock.now()
    const left = excluded.size === 0 ? candidates : candidates.filter(({ member }) => !excluded.has(member.id))
    if (left.length === 0) return undefined
    return this.policy(left, this.random, this.clock.now()).member
  }

  /** The one live target that every router picks for `key`. */
  chooseOwner (key: string): Member | undefined {
    return chooseOwner(this.directory.liveMembers(this.service), key)
  }

  /** Whether a target is usable and about as fast as the fastest. */
  isFit (id: string): boolean {
    const now = this.clock.now()
    const candidate = this.known.get(id)
    if (candidate === undefined) return true
    return isUsable(candidate, now) && slownessOf(candidate, this.fastestMs(now), now) <= 1 && candidate.errorShare < 0.5
  }

  /** Whether a target is expected to have slots to spare. */
  hasRoom (id: string): boolean {
    const candidate = this.known.get(id)
    if (candidate?.load === undefined) return false
    return estimateCalls(candidate, this.clock.now()) < candidate.load.limit * spareShare
  }

  /** To be called when an attempt at `member` starts. */
  started (member: Member): Started {
    const now = this.clock.now()
    const candidate = this.candidateOf(member)
    settle(candidate, now)
    candidate.inFlight++
    this.startedAt.set(candidate, now)
    return { candidate, at: now }
  }

  /** To be called once for every `started`. */
  finished ({ candidate, at }: Started, outcome: Outcome): void {
    const now = this.clock.now()
    const result = judgeOutcome(outcome)
    settle(candidate, now)
    candidate.inFlight--
    noteIncarnation(candidate, outcome.incarnation, now)
    if (result === 'refused' && isContradicted(candidate)) candidate.trust = 0
    noteLoad(candidate, outcome.load, now, this.startedAt.get(candidate) ?? now)
    if (result === 'answered') noteAnswer(candidate, now - at)
    noteSlowness(candidate, slowRatio * slownessOf(candidate, this.fastestMs(now), now), now)
    if (result === 'refused' || result === 'abandoned') return
    const weight = result === 'unreachable' ? unreachableSmoothing : errorSmoothing
    noteResult(candidate, result !== 'answered', weight, this.leastErrors(), now)
  }

  /** Takes in what a probe of a target told. */
  reported (member: Member, load: Load, incarnation: string | undefined): void {
    const candidate = this.candidateOf(member)
    noteIncarnation(candidate, incarnation, this.clock.now())
    noteLoad(candidate, load, this.clock.now(), this.startedAt.get(candidate) ?? -Infinity)
  }

  /** The target in use whose last report is the oldest, with the time of that report; only of those that `isAskable`. */
  findStalest (isAskable: (member: Member) => boolean): { readonly member: Member, readonly loadAt: number } | undefined {
    let stalest: Candidate | undefined
    for (const candidate of this.current()) {
      if (!isAskable(candidate.member)) continue
      if (stalest === undefined || candidate.loadAt < stalest.loadAt) stalest = candidate
    }
    return stalest === undefined ? undefined : { member: stalest.member, loadAt: stalest.loadAt }
  }

  /** Reads the members again at the next choice. */
  refresh (): void {
    this.readAt = -Infinity
  }

  /** Forgets every report and latency, as after a pause of this process. */
  forget (): void {
    for (const candidate of this.known.values()) reset(candidate)
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
      slowness: slownessOf(candidate, this.fastestMs(now), now),
      usable: isUsable(candidate, now),
      trust: candidate.trust,
      load: candidate.load,
      reportAgeMs: candidate.load === undefined ? undefined : now - candidate.loadAt
    }))
  }

  private current (): readonly Candidate[] {
    const now = this.clock.now()
    if (now - this.readAt < refreshMs) return this.candidates
    const first = this.known.size === 0
    const members = chooseSubset(this.directory.liveMembers(this.service), this.router, subsetSize)
    this.candidates = members.map(member => this.candidateOf(member, first ? -Infinity : now))
    this.prune(new Set(members.map(({ id }) => id)))
    this.readAt = now
    return this.candidates
  }

  private prune (ids: ReadonlySet<string>): void {
    for (const [id, candidate] of this.known) {
      if (!ids.has(id) && candidate.inFlight === 0) this.known.delete(id)
    }
  }

  private candidateOf (member: Member, newAt = -Infinity): Candidate {
    const known = this.known.get(member.id)
    if (known !== undefined) {
      known.member = member
      return known
    }
    const fresh = createCandidate(member, newAt, this.usual)
    this.known.set(member.id, fresh)
    return fresh
  }

  private fastestMs (now: number): number {
    let fastest = Infinity
    for (const candidate of this.candidates) {
      if (isUsable(candidate, now)) fastest = Math.min(fastest, estimateLatency(candidate, now))
    }
    return fastest
  }

  private leastErrors (): number {
    let least = 1
    for (const candidate of this.candidates) least = Math.min(least, candidate.errorShare)
    return least
  }
}

/** Whether a refusal contradicts the report before it, which showed free slots. */
function isContradicted ({ load }: Candidate): boolean {
  return load !== undefined && load.running + load.queued < load.limit
}

interface BalancerOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly policy?: Policy
  /** Tells the subsets of different routers apart: the node's id. */
  readonly router?: string
}
