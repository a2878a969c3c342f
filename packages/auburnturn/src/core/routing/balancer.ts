import type { Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import { chooseTwo } from './baselines.js'
import type { Candidate, Policy } from './types.js'

/** Smoothing of latency and errors: the weight of the newest observation. */
const smoothing = 0.2

/** Chooses targets for one service and learns from what becomes of the attempts. */
export class Balancer {
  private readonly clock: Clock
  private readonly random: Random
  private readonly policy: Policy
  private readonly directory: Directory
  private readonly service: string
  private readonly candidates = new Map<string, Candidate>()

  private constructor (options: BalancerOptions) {
    this.clock = options.clock
    this.random = options.random
    this.policy = options.policy ?? chooseTwo
    this.directory = options.directory
    this.service = options.service
  }

  static create (options: BalancerOptions): Balancer {
    return new Balancer(options)
  }

  /** A live target whose id is not in `excluded`; undefined when there is none. */
  choose (excluded: ReadonlySet<string>): Member | undefined {
    const live = this.directory.liveMembers(this.service).filter(member => !excluded.has(member.id))
    if (live.length === 0) return undefined
    const candidates = live.map(member => this.candidateOf(member))
    return this.policy(candidates, this.random, this.clock.now()).member
  }

  /** To be called when an attempt at `member` starts. */
  started (member: Member): void {
    this.candidateOf(member).inFlight++
  }

  /** To be called once for every `started`. */
  finished (member: Member, outcome: Outcome, latencyMs: number): void {
    const candidate = this.candidateOf(member)
    candidate.inFlight--
    const failed = outcome.verdict.kind === 'done' ? 0 : 1
    candidate.errorShare += smoothing * (failed - candidate.errorShare)
    if (failed === 0) candidate.latencyMs += smoothing * (latencyMs - candidate.latencyMs)
    if (outcome.load === undefined) return
    candidate.load = outcome.load
    candidate.loadAt = this.clock.now()
  }

  dump (): unknown {
    return [...this.candidates.values()].map(({ member, ...seen }) => ({ id: member.id, ...seen }))
  }

  private candidateOf (member: Member): Candidate {
    const known = this.candidates.get(member.id)
    if (known !== undefined) return known
    const fresh: Candidate = { member, inFlight: 0, latencyMs: 0, errorShare: 0, load: undefined, loadAt: 0 }
    this.candidates.set(member.id, fresh)
    return fresh
  }
}

interface BalancerOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly policy?: Policy
}
