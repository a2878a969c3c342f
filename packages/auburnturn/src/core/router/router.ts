import type { Answer, Attempt, Body, Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory, Member } from '../membership/index.js'
import type { Random } from '../random/index.js'
import { Balancer } from '../routing/index.js'
import type { Policy } from '../routing/index.js'
import type { Target } from '../target/index.js'
import { accumulate, isRetryable, notRun } from '../verdict/index.js'
import { runTicketed } from './ticketed.js'
import type { TicketedRoute } from './ticketed.js'

/** Routes calls of any service. */
export class Router {
  private readonly options: RouterOptions
  private readonly balancers = new Map<string, Balancer>()

  private constructor (options: RouterOptions) {
    this.options = options
  }

  static create (options: RouterOptions): Router {
    return new Router(options)
  }

  /** Runs `call` to its outcome; the answer is written only by the attempt that succeeds. */
  async run (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    if (call.forwarded) return await this.runHere(call, body, answer)
    if (call.ticket !== undefined) return await runTicketed(call, call.ticket, body, answer, this.ticketedRoute)
    const tried = new Set<string>()
    let outcome: Outcome = { verdict: notRun('no-target') }
    for (let attempt = 0; attempt < call.profile.retry.attempts; attempt++) {
      const member = this.choose(call, tried)
      if (member === undefined) return outcome
      tried.add(member.id)
      const { verdict, ...rest } = await this.attempt(call, member, body, answer)
      outcome = { ...rest, verdict: accumulate(outcome.verdict, verdict) }
      if (answer.started || !body.replayable || !isRetryable(verdict, call.idempotent)) return outcome
    }
    return outcome
  }

  dump (): unknown {
    return Object.fromEntries([...this.balancers].map(([service, balancer]) => [service, balancer.dump()]))
  }

  private readonly ticketedRoute: TicketedRoute = {
    members: service => this.options.directory.members(service),
    attempt: async (call, member, body, answer) => await this.attempt(call, member, body, answer)
  }

  private async runHere (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const { local } = this.options
    if (local === undefined || local.service !== call.service) return { verdict: notRun('no-target') }
    return await local.target.execute(call, body, answer)
  }

  /** The target that a call would be sent to now, none of those in `tried`. */
  choose (call: Call, tried: ReadonlySet<string>): Member | undefined {
    const { local } = this.options
    if (local !== undefined && local.service === call.service && !tried.has(local.id) && local.target.isBelow(call.profile.admission.localBelow)) {
      return this.options.directory.members(call.service).find(member => member.id === local.id) ?? this.balancerOf(call.service).choose(tried)
    }
    return this.balancerOf(call.service).choose(tried)
  }

  private async attempt (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const { clock, local, remote } = this.options
    const balancer = this.balancerOf(call.service)
    const start = clock.now()
    balancer.started(member)
    const outcome = member.id === local?.id
      ? await local.target.execute(call, body, answer)
      : await remote(call, member, body, answer)
    balancer.finished(member, outcome, clock.now() - start)
    return outcome
  }

  private balancerOf (service: string): Balancer {
    const known = this.balancers.get(service)
    if (known !== undefined) return known
    const { clock, random, directory, policy } = this.options
    const fresh = Balancer.create({ service, clock, random, directory, ...(policy === undefined ? {} : { policy }) })
    this.balancers.set(service, fresh)
    return fresh
  }
}

/** What a router is made of. `local` is absent where a service embeds the router. */
export interface RouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly remote: Attempt
  readonly local?: { readonly id: string, readonly service: string, readonly target: Target }
  readonly policy?: Policy
}
